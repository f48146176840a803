package loadbalancer.harness.scale;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.AttemptResult;
import loadbalancer.policy.Balancer;
import loadbalancer.policy.BalancerActions;
import loadbalancer.policy.BalancerRequest;
import loadbalancer.policy.BalancerSettings;
import loadbalancer.policy.DeduplicationScope;
import loadbalancer.policy.Idempotency;
import loadbalancer.policy.ListKind;
import loadbalancer.policy.RequestClass;
import loadbalancer.policy.ServerEntry;
import loadbalancer.policy.ServerState;
import loadbalancer.policy.ServiceQBalancer;

/**
 * Measures the memory and processor time of one node's decision module by the size of the fleet. It drives one module
 * with lists of servers, requests and outcomes, without sockets.
 */
public final class ModuleScale {
    private static final int ROUNDS = 5;
    /** Number of list changes that are timed together. */
    private static final int CHANGES = 200;

    private static final int ZONES = 19;
    /** Share of failing attempts in rounds with failures; each failure changes the weights of all draws. */
    private static final double FAILURE_SHARE = 0.01;

    /** Interval between requests in the time given to the module. */
    private static final long REQUEST_INTERVAL_US = 8_000;

    private ModuleScale() {}

    /**
     * The cost of one module. Times are processor time of the calling thread.
     *
     * @param nodes number of nodes in its settings
     * @param servers number of servers in its list
     * @param stateBytes heap retained by the module, its settings and its list
     * @param wholeListUs time for a full list, median of five
     * @param oneChangeUs time for a list change of one server, mean of 200
     * @param decisionUs time for a request and its outcome if all succeed, median of five means
     * @param failingDecisionUs the same if one attempt in a hundred fails
     */
    public record Cost(
            int nodes,
            int servers,
            long stateBytes,
            double wholeListUs,
            double oneChangeUs,
            double decisionUs,
            double failingDecisionUs) {}

    /** Measures a module with this many nodes and servers, and with this many requests in each round. */
    public static Cost measure(int nodes, int servers, int requests) {
        long before = usedBytes();
        Driver driver = new Driver(nodes, servers);
        driver.sendFullList();
        driver.sendRequests(requests, 0);
        long stateBytes = usedBytes() - before;
        double[] lists = new double[ROUNDS];
        double[] decisions = new double[ROUNDS];
        double[] failing = new double[ROUNDS];
        for (int i = 0; i < ROUNDS; i++) {
            lists[i] = cpuUs(driver::sendFullList);
            decisions[i] = cpuUs(() -> driver.sendRequests(requests, 0)) / requests;
            failing[i] = cpuUs(() -> driver.sendRequests(requests, FAILURE_SHARE)) / requests;
        }
        double change = cpuUs(() -> driver.sendChanges(CHANGES)) / CHANGES;
        return new Cost(nodes, servers, stateBytes, median(lists), change, median(decisions), median(failing));
    }

    private static double median(double[] values) {
        Arrays.sort(values);
        return values[values.length / 2];
    }

    private static double cpuUs(Runnable work) {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        long before = threads.getCurrentThreadCpuTime();
        work.run();
        return (threads.getCurrentThreadCpuTime() - before) / 1e3;
    }

    /** Returns the used heap after a collection. Calls twice, as the Java runtime may ignore the first call. */
    private static long usedBytes() {
        System.gc();
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    /** Drives one module: provides its clock, its servers and its requests. */
    private static final class Driver implements BalancerActions {
        private final SplittableRandom random = new SplittableRandom(1);
        private final List<ServerEntry> entries = new ArrayList<>();
        private final Balancer module;
        private long nowUs = 1_000_000;
        private long lastRequest;
        private boolean sent;
        private int attempts;

        Driver(int nodes, int servers) {
            BalancerSettings settings = new BalancerSettings();
            settings.nodes = nodes;
            for (int zone = 0; zone < ZONES; zone++) {
                settings.zones.add("zone-" + zone);
            }
            settings.classes.add(new RequestClass(
                    "page",
                    1_000_000,
                    0,
                    5_000_000,
                    1,
                    0,
                    Idempotency.IDEMPOTENT,
                    DeduplicationScope.ALL,
                    1_000_000,
                    false));
            for (int i = 0; i < servers; i++) {
                entries.add(new ServerEntry("s-" + i, i % ZONES, 0, ServerState.READY, 1, 0));
            }
            module = new ServiceQBalancer(settings, 1, this);
        }

        void sendFullList() {
            module.onServers(nowUs, ListKind.FULL, entries);
        }

        /** Sends list changes of one server, alternately to draining and back to ready. */
        void sendChanges(int changes) {
            for (int i = 0; i < changes; i++) {
                ServerEntry entry = entries.get(0);
                ServerState state = i % 2 == 0 ? ServerState.DRAINING : ServerState.READY;
                module.onServers(
                        nowUs,
                        ListKind.CHANGES,
                        List.of(new ServerEntry(entry.id(), entry.zone(), entry.cell(), state, 1, 0)));
            }
        }

        void sendRequests(int requests, double failing) {
            for (int i = 0; i < requests; i++) {
                nowUs += REQUEST_INTERVAL_US;
                long id = ++lastRequest;
                attempts = 0;
                sent = false;
                module.onRequest(nowUs, new BalancerRequest(id, 0, -1, 5_000_000, 0, false, null));
                while (sent) {
                    sent = false;
                    boolean fails = random.nextDouble() < failing;
                    module.onOutcome(
                            nowUs,
                            new AttemptOutcome(
                                    id,
                                    attempts - 1,
                                    fails ? AttemptResult.ERROR : AttemptResult.OK,
                                    1_000,
                                    !fails,
                                    null));
                }
            }
        }

        @Override
        public void send(long requestId, String serverId, long beginByUs, long untilUs) {
            attempts++;
            sent = true;
        }

        @Override
        public void cancel(long requestId, int attempt) {}

        @Override
        public void reject(long requestId, long retryAfterUs) {}

        @Override
        public void fail(long requestId) {}

        @Override
        public void wakeAt(long atUs) {}

        @Override
        public void probe(String serverId) {}

        @Override
        public void closeIdle(String serverId) {}

        @Override
        public void subscribe() {}

        @Override
        public void ejected(String serverId, int failures, String className) {}

        @Override
        public void restored(String serverId, String className) {}
    }
}
