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
    private static final long SECOND = 1_000_000;

    /** The outcome of an attempt, and when it is due: once the server has finished, or when the node times out. */
    private record Due(long atUs, Sent sent, AttemptResult result) {}

    private final FakeNode node = new FakeNode().withServers(SERVERS);
    private final PriorityQueue<Due> due = new PriorityQueue<>(Comparator.comparingLong(Due::atUs));
    private final Map<String, Long> busyUntil = new HashMap<>();
    private SplittableRandom chance = new SplittableRandom(11);
    private int seen;
    private int asked;
    private int servedInTime;
    /** Non-idempotent requests that failed, which may not be retried. */
    private int lost;
    /** Attempts that failed at the first server. */
    private int drawn;

    /** Sends requests at regular intervals for this time; server s0 fails this share of its requests. */
    private void play(long forUs, long requestIntervalUs, double failing) {
        long until = node.now + forUs;
        long nextAt = node.now;
        while (nextAt < until) {
            long at = due.isEmpty() ? nextAt : Math.min(nextAt, due.peek().atUs);
            node.advance(Math.max(0, at - node.now));
            take(failing);
            if (!due.isEmpty() && due.peek().atUs <= node.now) {
                end(due.poll());
            } else if (nextAt <= node.now) {
                node.request(asked++ % 5 < 3 ? FakeNode.IDEMPOTENT : FakeNode.NON_IDEMPOTENT);
                nextAt += requestIntervalUs;
            }
            take(failing);
        }
    }

    private void take(double failing) {
        for (; seen < node.sent.size(); seen++) {
            Sent sent = node.sent.get(seen);
            if (sent.server().equals("s0") && chance.nextDouble() < failing) {
                due.add(new Due(sent.atUs() + FAILURE_US, sent, AttemptResult.ERROR));
                continue;
            }
            long from = Math.max(sent.atUs(), busyUntil.getOrDefault(sent.server(), 0L));
            long done = from + (long) (WORK_US * (0.5 + chance.nextDouble()));
            busyUntil.put(sent.server(), done);
            due.add(
                    done < sent.untilUs()
                            ? new Due(done, sent, AttemptResult.OK)
                            : new Due(sent.untilUs(), sent, AttemptResult.TIMEOUT));
        }
    }

    private void end(Due ended) {
        long latency = node.now - ended.sent.atUs();
        // Requests are numbered from 1 in the order sent; see {@link #run}.
        boolean unsafe = (ended.sent.request() - 1) % 5 >= 3;
        drawn += ended.result == AttemptResult.ERROR ? 1 : 0;
        lost += ended.result == AttemptResult.ERROR && unsafe ? 1 : 0;
        servedInTime += ended.result == AttemptResult.OK && latency < 200_000 ? 1 : 0;
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
     * The load is one and a half times the capacity, so all other servers are at their limits. Idempotent requests may
     * be sent to the failing server as a fallback. Non-idempotent ones are lost there, and may be sent to it only until
     * it is ejected again: at most one in forty.
     */
    @ParameterizedTest
    @CsvSource({"1, 11", "1, 12", "0.9, 11", "0.7, 11", "0.7, 12", "0.5, 11", "0.5, 12", "0.5, 13"})
    void serverThatFailsAtOnceGetsHardlyAnyNonIdempotentRequests(double failing, long seed) {
        chance = new SplittableRandom(seed);
        play(10 * SECOND, 5_000, 0);
        int before = asked;
        play(20 * SECOND, 2_000, failing);
        double unsafe = 0.4 * (asked - before);
        assertTrue(lost <= 0.025 * unsafe, "lost: " + lost + " of " + unsafe);
    }

    /**
     * Idempotent requests are sent to the failing server at most as often as trial requests may fail: one in twenty
     * first attempts, plus the few before it is ejected. Only servers that fail everything are tested, because a server
     * that serves a part may receive more as a fallback.
     */
    @ParameterizedTest
    @CsvSource({"1, 11", "1, 12", "1, 13"})
    void serverThatFailsEverythingAtOnceGetsNoMoreThanItsTrialRequests(double failing, long seed) {
        chance = new SplittableRandom(seed);
        play(10 * SECOND, 5_000, 0);
        int before = asked;
        play(20 * SECOND, 2_000, failing);
        assertTrue(drawn <= 0.05 * (asked - before), "drawn: " + drawn + " of " + (asked - before));
    }

    /** After the overload the load is two thirds of the capacity. */
    @Test
    void allIsServedOnTimeOneSecondAfterAnOverload() {
        play(10 * SECOND, 5_000, 0);
        play(20 * SECOND, 2_000, 0.7);
        play(SECOND, 5_000, 0);
        int before = servedInTime;
        play(5 * SECOND, 5_000, 0);
        assertTrue(servedInTime - before >= 0.98 * 1_000, "served in time: " + (servedInTime - before));
    }
}
