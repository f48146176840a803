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
        long sentAt;
        AttemptResult result;
    }

    /** The check's own record of a request. */
    private static final class OpenRequest {
        RequestClass cls;
        long deadlineAt;
        boolean over;
        final List<Attempt> attempts = new ArrayList<>();

        Attempt binding() {
            return attempts.stream()
                    .filter(a -> a.result == null || !a.result.neverRan)
                    .findFirst()
                    .orElse(null);
        }
    }

    /** Takes the place of the node and fails the test at the first violation of a rule. */
    private static final class Judge implements BalancerActions {
        final SplittableRandom random;
        final BalancerSettings settings = FakeNode.settings();
        final Balancer balancer;
        final Map<Long, OpenRequest> requests = new LinkedHashMap<>();
        final Map<String, ServerEntry> servers = new LinkedHashMap<>();
        final Map<ServerEntry, List<long[]>> coldSends = new LinkedHashMap<>();
        final PriorityQueue<long[]> answers = new PriorityQueue<>((a, b) -> Long.compare(a[0], b[0]));
        final PriorityQueue<Long> wakes = new PriorityQueue<>();
        final StringBuilder trace = new StringBuilder();
        long now = 5_000_000;
        long nextId = 1;
        long served;
        int finals;

        Judge(long seed) {
            random = new SplittableRandom(seed);
            settings.classes.replaceAll(c -> new RequestClass(
                    c.name(),
                    c.latencyObjectiveUs(),
                    0,
                    c.deadlineUs(),
                    c.priorityWeight(),
                    random.nextInt(2) * 0.5,
                    c.idempotency(),
                    c.deduplicationScope(),
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
        public void send(long requestId, String serverId, long beginByUs, long untilUs) {
            trace.append(now)
                    .append(" send ")
                    .append(requestId)
                    .append(serverId)
                    .append('\n');
            OpenRequest request = requests.get(requestId);
            ServerEntry server = servers.get(serverId);
            assertNotNull(request, "a request that is held");
            assertFalse(request.over, "rule 1: nothing is sent after the end");
            assertTrue(untilUs <= request.deadlineAt, "rule 1: inside the client's time");
            assertTrue(now < request.deadlineAt, "rule 1: time is left");
            assertTrue(request.attempts.size() < settings.maxAttempts);
            Attempt binding = request.binding();
            if (binding != null) {
                assertTrue(
                        request.cls.idempotency() != Idempotency.NON_IDEMPOTENT,
                        "rule 2: an unsafe request may have run");
                if (request.cls.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY) {
                    assertTrue(
                            now <= binding.sentAt + request.cls.deduplicationWindowUs(), "rule 2: inside the window");
                    assertTrue(
                            sameDeduplicationScope(request.cls.deduplicationScope(), binding.server, server),
                            "rule 2: in the group");
                }
                assertTrue(settings.hedging || request.attempts.stream().allMatch(a -> a.result != null));
            }
            assertTrue(server.state() == ServerState.READY, "rule 3: nothing to a draining or gone server");
            if (server.startedAtUs() > 0 && now < server.startedAtUs() + settings.warmUpUs) {
                coldSends.computeIfAbsent(server, k -> new ArrayList<>()).add(new long[] {now, ready()});
            }
            Attempt attempt = new Attempt();
            attempt.server = server;
            attempt.sentAt = now;
            request.attempts.add(attempt);
            boolean timesOut = random.nextInt(30) == 0;
            long at = timesOut ? untilUs : Math.min(untilUs, now + 1_000 + random.nextInt(120_000));
            answers.add(new long[] {
                at,
                requestId,
                request.attempts.size() - 1,
                timesOut || at == untilUs ? AttemptResult.TIMEOUT.ordinal() : draw()
            });
        }

        private int draw() {
            AttemptResult[] bad = {
                AttemptResult.ERROR,
                AttemptResult.FULL,
                AttemptResult.CONNECT_FAILED,
                AttemptResult.RESET,
                AttemptResult.MOOT
            };
            return (random.nextInt(8) > 0 ? AttemptResult.OK : bad[random.nextInt(bad.length)]).ordinal();
        }

        private static boolean sameDeduplicationScope(DeduplicationScope group, ServerEntry a, ServerEntry b) {
            return group == DeduplicationScope.ALL
                    || (group == DeduplicationScope.ZONE ? a.zone() == b.zone() : a.cell() == b.cell());
        }

        private void finish(long id, boolean rejection) {
            trace.append(now)
                    .append(rejection ? " refuse " : " fail ")
                    .append(id)
                    .append('\n');
            OpenRequest request = requests.get(id);
            assertNotNull(request);
            assertFalse(request.over, "rule 1: one final answer only");
            assertTrue(now <= request.deadlineAt + settings.tickUs, "rule 1: the answer comes in time");
            if (rejection && request.binding() != null) {
                assertTrue(
                        request.cls.idempotency() == Idempotency.IDEMPOTENT
                                || request.cls.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                                        && request.cls.deduplicationScope() == DeduplicationScope.ALL,
                        "rule 2: a rejection promises that trying again is harmless");
            }
            request.over = true;
            finals++;
        }

        @Override
        public void reject(long requestId, long retryAfterUs) {
            finish(requestId, true);
        }

        @Override
        public void fail(long requestId) {
            finish(requestId, false);
        }

        @Override
        public void cancel(long requestId, int attempt) {
            assertTrue(settings.cancellation);
            Attempt out = requests.get(requestId).attempts.get(attempt);
            if (out.result == null) {
                answers.removeIf(a -> a[1] == requestId && a[2] == attempt);
                answers.add(new long[] {now, requestId, attempt, AttemptResult.CANCELLED.ordinal()});
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
            request.cls = settings.classes.get(classIndex);
            long left = random.nextInt(10) == 0 ? random.nextInt(3_000) : 20_000 + random.nextInt(900_000);
            request.deadlineAt = now + left;
            long id = nextId++;
            requests.put(id, request);
            balancer.onRequest(
                    now,
                    new BalancerRequest(
                            id,
                            classIndex,
                            random.nextInt(2) - 1,
                            left,
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

        void answer(long[] due) {
            OpenRequest request = requests.get(due[1]);
            Attempt attempt = request.attempts.get((int) due[2]);
            attempt.result = AttemptResult.values()[(int) due[3]];
            if (attempt.result == AttemptResult.OK && !request.over) {
                request.over = true;
                finals++;
                served++;
            }
            balancer.onOutcome(
                    now,
                    new AttemptOutcome(due[1], (int) due[2], attempt.result, now - attempt.sentAt, request.over, null));
        }

        void run(int events) {
            balancer.onServers(now, ListKind.CACHED, List.of());
            for (int i = 0; i < 5; i++) {
                changeList();
            }
            long nextEvent = now;
            for (int done = 0; done < events || !answers.isEmpty() || open() > 0; ) {
                long at = done < events ? nextEvent : Long.MAX_VALUE;
                at = Math.min(at, answers.isEmpty() ? Long.MAX_VALUE : answers.peek()[0]);
                at = Math.min(at, wakes.isEmpty() ? Long.MAX_VALUE : wakes.peek());
                assertTrue(at < Long.MAX_VALUE, "rule 1: requests held and nothing to wake the module");
                now = Math.max(now, at);
                if (!answers.isEmpty() && answers.peek()[0] <= now) {
                    answer(answers.poll());
                } else if (!wakes.isEmpty() && wakes.peek() <= now) {
                    wakes.poll();
                    balancer.onWake(now);
                } else {
                    done++;
                    nextEvent = now + random.nextInt(30_000);
                    int what = random.nextInt(100);
                    if (what < 2) {
                        changeList();
                    } else if (what < 3) {
                        balancer.onListFailed(now);
                    } else if (what < 5 && nextId > 1) {
                        leave(1 + random.nextLong(nextId - 1));
                    } else {
                        request();
                    }
                }
            }
        }

        private long ready() {
            return servers.values().stream()
                    .filter(e -> e.state() == ServerState.READY)
                    .count();
        }

        private long open() {
            return requests.values().stream().filter(h -> !h.over).count();
        }

        private void leave(long id) {
            OpenRequest request = requests.get(id);
            if (!request.over) {
                request.over = true;
                finals++;
            }
            balancer.onClientGone(now, id);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
    void allRulesHoldOverRandomSequences(long seed) {
        Judge judge = new Judge(seed);
        judge.run(1_500);
        assertEquals(judge.requests.size(), judge.finals, "rule 1: every request has its one final answer");
        assertTrue(judge.served > 100, "the run must do real work: " + judge.served);
        // Rule 4: in any span of this length, this node sends a warming server at most its share of the allowed
        // multiple of the server's current capacity. The node's share of a warm server's capacity is taken to be its
        // rate of responses divided by the number of servers that were ready, three at most because many are always
        // gone. Two more requests are allowed for random variation.
        double rate = judge.served / ((judge.now - 5_000_000) / 1e6);
        BalancerSettings settings = judge.settings;
        judge.coldSends.forEach((start, sends) -> {
            for (long[] first : sends) {
                List<long[]> span = sends.stream()
                        .filter(s -> s[0] >= first[0] && s[0] < first[0] + settings.overloadUs)
                        .toList();
                double ready =
                        Math.min(3, span.stream().mapToLong(s -> s[1]).min().getAsLong());
                double age = Math.min(
                        1, (first[0] + settings.overloadUs - start.startedAtUs()) / (double) settings.warmUpUs);
                double share = settings.warmUpInitialShare + (1 - settings.warmUpInitialShare) * age;
                assertTrue(
                        span.size() - 2 <= settings.overloadMultiple * share * rate / ready * settings.overloadUs / 1e6,
                        "rule 4: " + span.size() + " sends in one span");
            }
        });
    }

    @ParameterizedTest
    @ValueSource(longs = {21, 22})
    void sameEventsAndSeedGiveTheSameActions(long seed) {
        Judge one = new Judge(seed);
        Judge two = new Judge(seed);
        one.run(800);
        two.run(800);
        assertEquals(one.trace.toString(), two.trace.toString());
    }
}
