package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks that the balancer follows all four rules over long random sequences of events with fixed seeds. */
class RandomEventsTest {

    /** The check's own record of an attempt. */
    private static final class Attempt {
        ServerEntry server;
        long sentAtUs;
        AttemptResult result;
    }

    /** The check's own record of a request. */
    private static final class OpenRequest {
        RequestClass requestClass;
        long deadlineAtUs;
        boolean ended;
        final List<Attempt> attempts = new ArrayList<>();

        Attempt firstThatMayHaveRun() {
            return attempts.stream()
                    .filter(a -> a.result == null || !a.result.neverRan)
                    .findFirst()
                    .orElse(null);
        }
    }

    /** Takes the place of the node and fails the test at the first violation of a rule. */
    private static final class CheckingNode implements BalancerActions {
        final SplittableRandom random;
        final BalancerSettings settings = FakeNode.settings();
        final Balancer balancer;
        final Map<Long, OpenRequest> requests = new LinkedHashMap<>();
        final Map<String, ServerEntry> servers = new LinkedHashMap<>();
        final Map<ServerEntry, List<long[]>> warmingSends = new LinkedHashMap<>();
        final PriorityQueue<long[]> dueOutcomes = new PriorityQueue<>((a, b) -> Long.compare(a[0], b[0]));
        final PriorityQueue<Long> wakes = new PriorityQueue<>();
        final StringBuilder trace = new StringBuilder();
        long now = 5_000_000;
        long nextId = 1;
        long served;
        int finalResponses;

        CheckingNode(long seed) {
            random = new SplittableRandom(seed);
            settings.classes.replaceAll(each -> new RequestClass(
                    each.name(),
                    each.latencyObjectiveUs(),
                    0,
                    each.deadlineUs(),
                    each.priorityWeight(),
                    random.nextInt(2) * 0.5,
                    each.idempotency(),
                    each.deduplicationScope(),
                    80_000,
                    false));
            settings.nodes = 1 + random.nextInt(5);
            settings.maxAttempts = 1 + random.nextInt(5);
            settings.cancellation = random.nextBoolean();
            settings.hedging = random.nextBoolean();
            settings.pollsEndpointList = random.nextBoolean();
            settings.crossZoneCost = random.nextBoolean() ? 0.02 : 0;
            settings.tickUs = 1_000 * (1 + random.nextInt(5));
            settings.drainGraceUs = 0;
            settings.warmUpUs = 8_000_000;
            settings.warmUpInitialShare = 0.2;
            settings.keyAffinity = random.nextBoolean();
            balancer = new ServiceQBalancer(settings, seed, this);
        }

        @Override
        public void send(long requestId, String serverId, long startByUs, long endByUs) {
            trace.append(now)
                    .append(" send ")
                    .append(requestId)
                    .append(serverId)
                    .append('\n');
            OpenRequest request = requests.get(requestId);
            ServerEntry server = servers.get(serverId);
            assertNotNull(request, "the request is open");
            assertFalse(request.ended, "rule 1: nothing is sent after the final response");
            assertTrue(endByUs <= request.deadlineAtUs, "rule 1: an attempt ends by the client's deadline");
            assertTrue(now < request.deadlineAtUs, "rule 1: the deadline has not passed");
            assertTrue(request.attempts.size() < settings.maxAttempts);
            Attempt firstThatMayHaveRun = request.firstThatMayHaveRun();
            if (firstThatMayHaveRun != null) {
                assertTrue(
                        request.requestClass.idempotency() != Idempotency.NON_IDEMPOTENT,
                        "rule 2: a non-idempotent request that may have run is not sent again");
                if (request.requestClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY) {
                    assertTrue(
                            now <= firstThatMayHaveRun.sentAtUs + request.requestClass.deduplicationWindowUs(),
                            "rule 2: within the deduplication window");
                    assertTrue(
                            sameDeduplicationScope(
                                    request.requestClass.deduplicationScope(), firstThatMayHaveRun.server, server),
                            "rule 2: within the deduplication scope");
                }
                assertTrue(settings.hedging || request.attempts.stream().allMatch(a -> a.result != null));
            }
            assertTrue(server.state() == ServerState.READY, "rule 3: nothing is sent to a draining or removed server");
            if (server.startedAtUs() > 0 && now < server.startedAtUs() + settings.warmUpUs) {
                warmingSends.computeIfAbsent(server, k -> new ArrayList<>()).add(new long[] {now, readyCount()});
            }
            Attempt attempt = new Attempt();
            attempt.server = server;
            attempt.sentAtUs = now;
            request.attempts.add(attempt);
            boolean timesOut = random.nextInt(30) == 0;
            long at = timesOut ? endByUs : Math.min(endByUs, now + 1_000 + random.nextInt(120_000));
            dueOutcomes.add(new long[] {
                at,
                requestId,
                request.attempts.size() - 1,
                timesOut || at == endByUs ? AttemptResult.TIMEOUT.ordinal() : drawResult()
            });
        }

        private int drawResult() {
            AttemptResult[] failures = {
                AttemptResult.ERROR,
                AttemptResult.FULL,
                AttemptResult.CONNECT_FAILED,
                AttemptResult.RESET,
                AttemptResult.MOOT
            };
            return (random.nextInt(8) > 0 ? AttemptResult.OK : failures[random.nextInt(failures.length)]).ordinal();
        }

        private static boolean sameDeduplicationScope(DeduplicationScope scope, ServerEntry a, ServerEntry b) {
            return scope == DeduplicationScope.ALL
                    || (scope == DeduplicationScope.ZONE ? a.zone() == b.zone() : a.cell() == b.cell());
        }

        private void onFinalResponse(long id, boolean rejection) {
            trace.append(now)
                    .append(rejection ? " refuse " : " fail ")
                    .append(id)
                    .append('\n');
            OpenRequest request = requests.get(id);
            assertNotNull(request);
            assertFalse(request.ended, "rule 1: only one final response");
            assertTrue(now <= request.deadlineAtUs + settings.tickUs, "rule 1: the final response is in time");
            if (rejection && request.firstThatMayHaveRun() != null) {
                assertTrue(
                        request.requestClass.idempotency() == Idempotency.IDEMPOTENT
                                || request.requestClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                                        && request.requestClass.deduplicationScope() == DeduplicationScope.ALL,
                        "rule 2: a request is only rejected if the client may safely retry");
            }
            request.ended = true;
            finalResponses++;
        }

        @Override
        public void reject(long requestId, long retryAfterUs) {
            onFinalResponse(requestId, true);
        }

        @Override
        public void fail(long requestId) {
            onFinalResponse(requestId, false);
        }

        @Override
        public void cancel(long requestId, int attempt) {
            assertTrue(settings.cancellation);
            Attempt cancelled = requests.get(requestId).attempts.get(attempt);
            if (cancelled.result == null) {
                dueOutcomes.removeIf(a -> a[1] == requestId && a[2] == attempt);
                dueOutcomes.add(new long[] {now, requestId, attempt, AttemptResult.CANCELLED.ordinal()});
            }
        }

        @Override
        public void wakeAt(long atUs) {
            assertTrue(atUs > now);
            wakes.add(atUs);
        }

        @Override
        public void closeIdle(String serverId) {}

        @Override
        public void probe(String serverId) {
            assertTrue(settings.probes);
        }

        @Override
        public void subscribe() {
            assertTrue(settings.pollsEndpointList);
        }

        @Override
        public void ejected(String serverId, int failures, String className) {
            trace.append(FakeNode.ejection(serverId, failures, className)).append('\n');
        }

        @Override
        public void restored(String serverId, String className) {
            trace.append(FakeNode.restoration(serverId, className)).append('\n');
        }

        void request() {
            OpenRequest request = new OpenRequest();
            int classIndex = random.nextInt(settings.classes.size());
            request.requestClass = settings.classes.get(classIndex);
            long remainingUs = random.nextInt(10) == 0 ? random.nextInt(3_000) : 20_000 + random.nextInt(900_000);
            request.deadlineAtUs = now + remainingUs;
            long id = nextId++;
            requests.put(id, request);
            balancer.onRequest(
                    now,
                    new BalancerRequest(
                            id,
                            classIndex,
                            random.nextInt(2) - 1,
                            remainingUs,
                            0,
                            false,
                            random.nextInt(4) == 0 ? null : "k" + random.nextInt(40)));
        }

        void changeList() {
            List<ServerEntry> changes = new ArrayList<>();
            for (int i = 0; i < 1 + random.nextInt(3); i++) {
                int number = random.nextInt(9);
                ServerState state = ServerState.values()[Math.max(0, random.nextInt(5) - 2)];
                ServerEntry entry = new ServerEntry(
                        "s" + number,
                        number % 2,
                        number % 3,
                        state,
                        1,
                        state == ServerState.READY && random.nextInt(3) == 0 ? now : 0);
                if (servers.containsKey(entry.id()) || state != ServerState.GONE) {
                    changes.add(entry);
                }
            }
            if (random.nextInt(6) == 0) {
                changes.removeIf(e -> e.state() == ServerState.GONE);
                servers.replaceAll(
                        (id, e) -> new ServerEntry(id, e.zone(), e.cell(), ServerState.GONE, 1, e.startedAtUs()));
                changes.forEach(e -> servers.put(e.id(), e));
                balancer.onServers(now, ListKind.FULL, changes);
            } else {
                changes.forEach(e -> servers.put(e.id(), e));
                balancer.onServers(now, ListKind.CHANGES, changes);
            }
        }

        void endAttempt(long[] due) {
            OpenRequest request = requests.get(due[1]);
            Attempt attempt = request.attempts.get((int) due[2]);
            attempt.result = AttemptResult.values()[(int) due[3]];
            if (attempt.result == AttemptResult.OK && !request.ended) {
                request.ended = true;
                finalResponses++;
                served++;
            }
            balancer.onOutcome(
                    now,
                    new AttemptOutcome(
                            due[1], (int) due[2], attempt.result, now - attempt.sentAtUs, request.ended, null));
        }

        void run(int events) {
            balancer.onServers(now, ListKind.CACHED, List.of());
            for (int i = 0; i < 5; i++) {
                changeList();
            }
            long nextEvent = now;
            for (int done = 0; done < events || !dueOutcomes.isEmpty() || openCount() > 0; ) {
                long at = done < events ? nextEvent : Long.MAX_VALUE;
                at = Math.min(
                        at, dueOutcomes.isEmpty() ? Long.MAX_VALUE : dueOutcomes.peek()[0]);
                at = Math.min(at, wakes.isEmpty() ? Long.MAX_VALUE : wakes.peek());
                assertTrue(at < Long.MAX_VALUE, "rule 1: requests are open but no event or wake-up is pending");
                now = Math.max(now, at);
                if (!dueOutcomes.isEmpty() && dueOutcomes.peek()[0] <= now) {
                    endAttempt(dueOutcomes.poll());
                } else if (!wakes.isEmpty() && wakes.peek() <= now) {
                    wakes.poll();
                    balancer.onWake(now);
                } else {
                    done++;
                    nextEvent = now + random.nextInt(30_000);
                    int kind = random.nextInt(100);
                    if (kind < 2) {
                        changeList();
                    } else if (kind < 3) {
                        balancer.onListFailed(now);
                    } else if (kind < 5 && nextId > 1) {
                        clientLeaves(1 + random.nextLong(nextId - 1));
                    } else {
                        request();
                    }
                }
            }
        }

        private long readyCount() {
            return servers.values().stream()
                    .filter(e -> e.state() == ServerState.READY)
                    .count();
        }

        private long openCount() {
            return requests.values().stream().filter(request -> !request.ended).count();
        }

        private void clientLeaves(long id) {
            OpenRequest request = requests.get(id);
            if (!request.ended) {
                request.ended = true;
                finalResponses++;
            }
            balancer.onClientGone(now, id);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
    void allRulesHoldOverRandomSequences(long seed) {
        CheckingNode node = new CheckingNode(seed);
        node.run(1_500);
        assertEquals(node.requests.size(), node.finalResponses, "rule 1: every request has exactly one final response");
        assertTrue(node.served > 100, "too few requests served: " + node.served);
        // Rule 4: in any span of this length, this node sends a warming server at most its share of the allowed
        // multiple of the server's current capacity. The node's share of a warm server's capacity is taken to be its
        // rate of responses divided by the number of servers that were ready, three at most because many are always
        // gone. Two more requests are allowed for random variation.
        double rate = node.served / ((node.now - 5_000_000) / 1e6);
        BalancerSettings settings = node.settings;
        node.warmingSends.forEach((start, sends) -> {
            for (long[] first : sends) {
                List<long[]> span = sends.stream()
                        .filter(s -> s[0] >= first[0] && s[0] < first[0] + settings.overloadUs)
                        .toList();
                double readyCount =
                        Math.min(3, span.stream().mapToLong(s -> s[1]).min().getAsLong());
                double age = Math.min(
                        1, (first[0] + settings.overloadUs - start.startedAtUs()) / (double) settings.warmUpUs);
                double share = settings.warmUpInitialShare + (1 - settings.warmUpInitialShare) * age;
                assertTrue(
                        span.size() - 2
                                <= settings.overloadMultiple * share * rate / readyCount * settings.overloadUs / 1e6,
                        "rule 4: " + span.size() + " sends in one span");
            }
        });
    }

    @ParameterizedTest
    @ValueSource(longs = {21, 22})
    void sameEventsAndSeedGiveTheSameActions(long seed) {
        CheckingNode one = new CheckingNode(seed);
        CheckingNode two = new CheckingNode(seed);
        one.run(800);
        two.run(800);
        assertEquals(one.trace.toString(), two.trace.toString());
    }
}
