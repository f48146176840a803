package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** How much one node may send to a warming server. */
class WarmingServerTest {

    private static final int WARM_SERVERS = 19;
    private static final int REQUESTS_PER_SECOND = 300;

    private static ServerEntry started(String id, long atUs) {
        return new ServerEntry(id, 0, 0, ServerState.READY, 1, atUs);
    }

    @Test
    void warmingServerGetsAtMostItsShareHoweverManyRequestsArrive() {
        FakeNode node = new FakeNode().withServers(4);
        for (int i = 0; i < 400; i++) {
            node.completeRequest(FakeNode.IDEMPOTENT, AttemptResult.OK, 10_000);
        }
        node.deliverList(ListKind.CHANGES, List.of(started("cold", node.now)));
        // Five servers give 100 responses a second: an even share is 20 a second, of which a warming server can handle
        // a fifth.
        for (int round = 0; round < 200; round++) {
            List<Long> burst = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                burst.add(node.request(FakeNode.IDEMPOTENT));
            }
            node.advance(10_000);
            // Only one of ten requests gets a response, so arrivals are ten times the responses.
            burst.stream()
                    .map(node::lastAttempt)
                    .filter(s -> s != null && !s.server().equals("cold"))
                    .findFirst()
                    .ifPresent(s -> node.endAttempt(s.request(), AttemptResult.OK, 0));
        }
        long sentToWarming = node.sentTo("cold");
        assertTrue(
                sentToWarming >= 1 && sentToWarming <= 16,
                "sent to the warming server in two seconds: " + sentToWarming);
    }

    /** The nodes do not communicate; some of them start together with the warming server. */
    @ParameterizedTest
    @CsvSource({"20, 0", "30, 0", "30, 30"})
    void allNodesTogetherStayWithinAWarmingServersBudget(int count, int newNodes) {
        BalancerSettings settings = FakeNode.settings();
        settings.nodes = count;
        List<FakeNode> nodes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            BalancerSettings own = FakeNode.settings();
            own.nodes = count;
            own.nodeIndex = i;
            nodes.add(new FakeNode(own, i).withServers(WARM_SERVERS));
        }
        SplittableRandom random = new SplittableRandom(5);
        serve(nodes, 4_000, random);
        long startedAt = nodes.get(0).now;
        List<ServerEntry> all = new ArrayList<>(List.of(started("cold", startedAt)));
        for (int i = 0; i < WARM_SERVERS; i++) {
            all.add(FakeNode.server("s" + i));
        }
        for (int i = 0; i < count; i++) {
            if (i < newNodes) {
                FakeNode restarted = new FakeNode(nodes.get(i).settings, 100 + i);
                restarted.now = startedAt;
                nodes.set(i, restarted);
            }
            nodes.get(i).deliverList(i < newNodes ? ListKind.CACHED : ListKind.FULL, all);
        }
        serve(nodes, 8_000, random);
        List<Long> sentAt = nodes.stream()
                .flatMap(n -> n.sent.stream())
                .filter(s -> s.server().equals("cold"))
                .map(FakeNode.Sent::atUs)
                .sorted()
                .toList();
        // On average the load equals the capacity of the servers: each can serve an even share of all requests.
        double capacity = REQUESTS_PER_SECOND / 1e6 / (WARM_SERVERS + 1);
        for (int first = 0; first < sentAt.size(); first++) {
            long from = sentAt.get(first);
            double age = (double) (from - startedAt) / settings.warmUpUs;
            double share = settings.warmUpInitialShare + (1 - settings.warmUpInitialShare) * age;
            double budget = settings.overloadMultiple * share * capacity * settings.overloadUs;
            long sent = sentAt.stream()
                    .filter(at -> at >= from && at < from + settings.overloadUs)
                    .count();
            assertTrue(
                    sent <= budget + 2 * Math.sqrt(budget) + 2,
                    sent + " from " + (from - startedAt) + " us after the start, the budget is " + budget);
        }
        assertTrue(sentAt.size() > 20, "sent to the warming server: " + sentAt.size());
    }

    /** Sends requests to random nodes at random times; each response comes 20 ms later. */
    private static void serve(List<FakeNode> nodes, int rounds, SplittableRandom random) {
        ArrayDeque<Runnable> due = new ArrayDeque<>();
        for (int round = 0; round < rounds; round++) {
            nodes.forEach(node -> node.advance(1_000));
            while (due.size() > 20 * REQUESTS_PER_SECOND / 1_000) {
                due.poll().run();
            }
            if (random.nextInt(1_000) < REQUESTS_PER_SECOND) {
                FakeNode node = nodes.get(random.nextInt(nodes.size()));
                long id = node.request(FakeNode.IDEMPOTENT);
                due.add(() -> {
                    if (node.lastAttempt(id) != null && !node.rejected.contains(id)) {
                        node.endAttempt(id, AttemptResult.OK, 0);
                    }
                });
            }
        }
    }

    @Test
    void newNodeDoesNotOverloadAWarmingServer() {
        FakeNode node = new FakeNode();
        node.deliverList(ListKind.CACHED, List.of(started("cold", node.now - 100_000), FakeNode.server("warm")));
        for (int i = 0; i < 200; i++) {
            node.request(FakeNode.IDEMPOTENT);
            node.advance(1_000);
        }
        long sentToWarming = node.sentTo("cold");
        assertTrue(sentToWarming <= 2, "sent to the warming server in 0.2 s: " + sentToWarming);
    }

    @Test
    void nodeSendsToServersThatAreAllWarmingUp() {
        FakeNode node = new FakeNode();
        node.now = 1_700_000_000_000_000L;
        node.deliverList(ListKind.CACHED, List.of(started("c0", node.now - 9_000), started("c1", node.now - 9_000)));
        for (int i = 0; i < 10; i++) {
            node.request(FakeNode.IDEMPOTENT);
            node.advance(100_000);
        }
        assertTrue(node.sent.size() > 0, "nothing was sent in a second");
    }

    @Test
    void slowStartDoesNotDependOnTheOriginOfTheClock() {
        // Guards against a first response interval that counts from the origin of the clock.
        List<Long> sentToWarming = new ArrayList<>();
        for (long epoch : new long[] {1_000_000, 900_000_000_000L}) {
            FakeNode node = new FakeNode();
            node.now = epoch;
            node.withServers(3);
            for (int i = 0; i < 100; i++) {
                node.completeRequest(FakeNode.IDEMPOTENT, AttemptResult.OK, 10_000);
            }
            node.deliverList(ListKind.CHANGES, List.of(started("cold", node.now)));
            for (int i = 0; i < 300; i++) {
                node.completeRequest(FakeNode.IDEMPOTENT, AttemptResult.OK, 10_000);
            }
            sentToWarming.add(node.sentTo("cold"));
        }
        assertEquals(sentToWarming.get(0), sentToWarming.get(1));
        assertTrue(sentToWarming.get(0) > 1, "sent to the warming server in three seconds: " + sentToWarming.get(0));
    }

    @Test
    void limitOfAWarmingServerDoesNotExceedTheMean() {
        // Guards against overload after a warm-up: quick responses to its few requests raised the server's limit too
        // far.
        BalancerSettings settings = FakeNode.settings();
        settings.nodes = 8;
        FakeNode node = new FakeNode(settings, 5);
        node.deliverList(ListKind.CACHED, List.of(started("cold", node.now), FakeNode.server("warm")));
        long warmAt = node.now + settings.warmUpUs;
        int responded = 0;
        while (node.now < warmAt) {
            for (int i = 0; i < 3; i++) {
                node.request(FakeNode.IDEMPOTENT);
            }
            for (; responded < node.sent.size(); responded++) {
                FakeNode.Sent sent = node.sent.get(responded);
                node.endAttempt(sent.request(), AttemptResult.OK, sent.server().equals("cold") ? 10_000 : 150_000);
            }
            node.advance(50_000);
        }
        node.advance(3_000_000);
        long before = node.sentTo("cold");
        for (int step = 0; step < 20; step++) {
            node.request(FakeNode.IDEMPOTENT);
            node.advance(50_000);
            while (responded < node.sent.size() && node.sent.get(responded).atUs() <= node.now - 150_000) {
                node.endAttempt(node.sent.get(responded++).request(), AttemptResult.OK, 0);
            }
        }
        long sentToNewlyWarm = node.sentTo("cold") - before;
        assertTrue(sentToNewlyWarm <= 3, "sent in a second to the server that is now warm: " + sentToNewlyWarm);
    }

    /**
     * Guards against an overload at the start of a server: all nodes learn of the start at once and sent their first
     * requests together.
     */
    @Test
    void firstSendsOfManyNodesToAWarmingServerAreSpread() {
        int nodesThatSent = 0;
        for (int nodeIndex = 0; nodeIndex < 40; nodeIndex++) {
            BalancerSettings settings = FakeNode.settings();
            settings.nodes = 24;
            settings.nodeIndex = nodeIndex % 24;
            FakeNode node = new FakeNode(settings, 300 + nodeIndex).withServers(10);
            for (int i = 0; i < 200; i++) {
                node.completeRequest(FakeNode.IDEMPOTENT, AttemptResult.OK, 20_000);
            }
            node.deliverList(ListKind.CHANGES, List.of(started("cold", node.now)));
            for (int i = 0; i < 15; i++) {
                node.completeRequest(FakeNode.IDEMPOTENT, AttemptResult.OK, 20_000);
            }
            nodesThatSent += node.sentTo("cold") > 0 ? 1 : 0;
        }
        // A node's interval is about two seconds: in 0.3 s about a sixth of the nodes may send.
        assertTrue(nodesThatSent <= 14, "nodes that sent at once: " + nodesThatSent);
    }

    @Test
    void warmingServerGetsLessWithKeyAffinity() {
        long[] sent = new long[2];
        for (int keyAffinity = 0; keyAffinity < 2; keyAffinity++) {
            BalancerSettings settings = FakeNode.settings();
            settings.keyAffinity = keyAffinity == 1;
            FakeNode node = new FakeNode(settings, 9).withServers(4);
            node.deliverList(ListKind.CHANGES, List.of(started("cold", node.now)));
            for (int i = 0; i < 1_000; i++) {
                long id = node.requestWithKey("k" + i % 300, FakeNode.NON_IDEMPOTENT);
                node.endAttempt(id, AttemptResult.OK, 10_000);
            }
            sent[keyAffinity] = node.sentTo("cold");
        }
        assertTrue(sent[1] > 0 && 2 * sent[1] <= sent[0], "sent: " + sent[1] + " and " + sent[0]);
    }

    /**
     * Guards against overload at the end of slow start: the limit had not been reached before, so it was still the
     * initial one, and all nodes filled the server at once.
     */
    @Test
    void newlyWarmServerIsNotOverloadedAtOnceWithKeyAffinity() {
        BalancerSettings settings = FakeNode.settings();
        settings.nodes = 14;
        settings.keyAffinity = true;
        FakeNode node = new FakeNode(settings, 11).withServers(20);
        for (int i = 0; i < 400; i++) {
            node.endAttempt(node.requestWithKey("k" + i, FakeNode.NON_IDEMPOTENT), AttemptResult.OK, 10_000);
        }
        node.deliverList(ListKind.CHANGES, List.of(started("cold", node.now)));
        node.advance(settings.warmUpUs);
        for (int i = 0; i < 400; i++) {
            node.requestWithKey("k" + i, FakeNode.NON_IDEMPOTENT);
        }
        assertTrue(node.sentTo("cold") <= 1, "sent at once by one of 14 nodes: " + node.sentTo("cold"));
    }

    /**
     * Guards against a warming server that stays almost idle until its warm-up ends, because its load reports are
     * ignored.
     */
    @Test
    void warmingServerThatReportsLittleLoadGetsMore() {
        long[] sent = new long[2];
        for (int reports = 0; reports < 2; reports++) {
            BalancerSettings settings = FakeNode.settings();
            settings.keyAffinity = true;
            settings.reportFields.add(LoadReportField.IN_FLIGHT);
            FakeNode node = new FakeNode(settings, 12).withServers(4);
            node.deliverList(ListKind.CHANGES, List.of(started("cold", node.now)));
            for (int i = 0; i < 1_000; i++) {
                long id = node.requestWithKey("k" + i % 300, FakeNode.NON_IDEMPOTENT);
                node.advance(10_000);
                boolean cold = node.lastAttempt(id).server().equals("cold");
                node.balancer.onOutcome(
                        node.now,
                        new AttemptOutcome(
                                id,
                                0,
                                AttemptResult.OK,
                                10_000,
                                true,
                                cold && reports == 0 ? null : LoadReport.of(cold ? 0.5 : 1)));
            }
            sent[reports] = node.sentTo("cold");
        }
        assertTrue(3 * sent[0] < 2 * sent[1], "sent: " + sent[0] + " and " + sent[1]);
    }
}
