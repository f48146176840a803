package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import loadbalancer.policy.FakeNode.Sent;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a server that fails requests immediately and thereby attracts more of them: it never has requests in
 * flight, so a node whose other servers are at their limits would send it most requests. Each server has one core and
 * serves its requests one after the other; the first server fails.
 */
class FailFastServerTest {
    private static final int SERVERS = 6;
    private static final long WORK_US = 20_000;
    private static final long FAILURE_US = 1_000;
    private static final long SECOND_US = 1_000_000;

    /** The outcome of an attempt, and when it is due: once the server has finished, or when the node times out. */
    private record Due(long atUs, Sent sent, AttemptResult result) {}

    private final FakeNode node = new FakeNode().withServers(SERVERS);
    private final PriorityQueue<Due> due = new PriorityQueue<>(Comparator.comparingLong(Due::atUs));
    private final Map<String, Long> busyUntilUs = new HashMap<>();
    private SplittableRandom random = new SplittableRandom(11);
    private int scheduledCount;
    private int requestCount;
    private int servedOnTime;
    /** Non-idempotent requests that failed, which may not be retried. */
    private int lostNonIdempotent;
    /** Attempts that failed at the first server. */
    private int failedAtFirstServer;

    /** Sends requests at regular intervals for this time; server s0 fails this share of its requests. */
    private void run(long durationUs, long intervalUs, double failureShare) {
        long until = node.now + durationUs;
        long nextAt = node.now;
        while (nextAt < until) {
            long at = due.isEmpty() ? nextAt : Math.min(nextAt, due.peek().atUs);
            node.advance(Math.max(0, at - node.now));
            scheduleOutcomes(failureShare);
            if (!due.isEmpty() && due.peek().atUs <= node.now) {
                endAttempt(due.poll());
            } else if (nextAt <= node.now) {
                node.request(requestCount++ % 5 < 3 ? FakeNode.IDEMPOTENT : FakeNode.NON_IDEMPOTENT);
                nextAt += intervalUs;
            }
            scheduleOutcomes(failureShare);
        }
    }

    private void scheduleOutcomes(double failureShare) {
        for (; scheduledCount < node.sent.size(); scheduledCount++) {
            Sent sent = node.sent.get(scheduledCount);
            if (sent.server().equals("s0") && random.nextDouble() < failureShare) {
                due.add(new Due(sent.atUs() + FAILURE_US, sent, AttemptResult.ERROR));
                continue;
            }
            long from = Math.max(sent.atUs(), busyUntilUs.getOrDefault(sent.server(), 0L));
            long done = from + (long) (WORK_US * (0.5 + random.nextDouble()));
            busyUntilUs.put(sent.server(), done);
            due.add(
                    done < sent.endByUs()
                            ? new Due(done, sent, AttemptResult.OK)
                            : new Due(sent.endByUs(), sent, AttemptResult.TIMEOUT));
        }
    }

    private void endAttempt(Due ended) {
        long latency = node.now - ended.sent.atUs();
        // Requests are numbered from 1 in the order sent; see {@link #run}.
        boolean nonIdempotent = (ended.sent.request() - 1) % 5 >= 3;
        failedAtFirstServer += ended.result == AttemptResult.ERROR ? 1 : 0;
        lostNonIdempotent += ended.result == AttemptResult.ERROR && nonIdempotent ? 1 : 0;
        servedOnTime += ended.result == AttemptResult.OK && latency < 200_000 ? 1 : 0;
        node.balancer.onOutcome(
                node.now,
                new AttemptOutcome(
                        ended.sent.request(),
                        ended.sent.attempt(),
                        ended.result,
                        latency,
                        ended.result == AttemptResult.OK,
                        null));
    }

    /**
     * The load is 1.7 times the capacity of all servers, so the other servers are at their limits. Idempotent requests
     * may be sent to the failing server as a fallback. Non-idempotent ones are lost there, and may be sent to it only
     * until it is ejected again: at most one in forty.
     */
    @ParameterizedTest
    @CsvSource({"1, 11", "1, 12", "0.9, 11", "0.7, 11", "0.7, 12", "0.5, 11", "0.5, 12", "0.5, 13"})
    void serverThatFailsImmediatelyGetsAtMostOneInFortyNonIdempotentRequests(double failureShare, long seed) {
        random = new SplittableRandom(seed);
        run(10 * SECOND_US, 5_000, 0);
        int before = requestCount;
        run(20 * SECOND_US, 2_000, failureShare);
        double nonIdempotent = 0.4 * (requestCount - before);
        assertTrue(
                lostNonIdempotent <= 0.025 * nonIdempotent,
                "non-idempotent requests lost: " + lostNonIdempotent + " of " + nonIdempotent);
    }

    /**
     * Idempotent requests are sent to the failing server at most as often as trial requests may fail: one in twenty
     * first attempts, plus the few before it is ejected. Only servers that fail everything are tested, because a server
     * that serves a part may receive more as a fallback.
     */
    @ParameterizedTest
    @CsvSource({"1, 11", "1, 12", "1, 13"})
    void serverThatFailsEverythingImmediatelyGetsAtMostOneInTwentyRequests(double failureShare, long seed) {
        random = new SplittableRandom(seed);
        run(10 * SECOND_US, 5_000, 0);
        int before = requestCount;
        run(20 * SECOND_US, 2_000, failureShare);
        assertTrue(
                failedAtFirstServer <= 0.05 * (requestCount - before),
                "failed at the first server: " + failedAtFirstServer + " of " + (requestCount - before));
    }

    /** After the overload the load is two thirds of the capacity. */
    @Test
    void nearlyAllRequestsAreOnTimeOneSecondAfterAnOverload() {
        run(10 * SECOND_US, 5_000, 0);
        run(20 * SECOND_US, 2_000, 0.7);
        run(SECOND_US, 5_000, 0);
        int before = servedOnTime;
        run(5 * SECOND_US, 5_000, 0);
        assertTrue(servedOnTime - before >= 0.98 * 1_000, "served on time: " + (servedOnTime - before));
    }
}
