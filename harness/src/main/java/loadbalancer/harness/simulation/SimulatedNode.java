package loadbalancer.harness.simulation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import loadbalancer.harness.time.Timeline;
import loadbalancer.harness.time.Timeline.Timer;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.Balancer;
import loadbalancer.policy.BalancerActions;
import loadbalancer.policy.BalancerRequest;
import loadbalancer.policy.ListKind;
import loadbalancer.policy.ServerEntry;

/**
 * A node in simulated time: the real balancer with models of its connections. It also models what the program does
 * around the balancer, which takes no simulated time.
 */
final class SimulatedNode extends BaseNode implements BalancerActions {
    private static final long DRAINED_POLL_INTERVAL_US = 10_000;

    private final Timeline time;
    private final SplittableRandom random;
    private final Policy policy;
    private final SimulatedConnections connections;
    private final Map<Long, SimulatedRequest> requests = new HashMap<>();
    /** Null while its process does not run. */
    private Balancer balancer;

    private boolean terminating;
    private List<ServerEntry> lastFullList = List.of();
    private Timer wakeTimer;

    SimulatedNode(int number, Testbed testbed, Policy policy) {
        super(number, testbed);
        this.policy = policy;
        time = testbed.time();
        random = time.stream("node " + name());
        connections = new SimulatedConnections(name(), testbed);
    }

    SplittableRandom random() {
        return random;
    }

    SimulatedConnections connections() {
        return connections;
    }

    /** Schedules a task that is skipped if the incarnation that scheduled it has ended by then. */
    Timer schedule(long afterUs, Runnable task) {
        int scheduledBy = incarnation();
        return time.after(afterUs, () -> {
            if (scheduledBy == incarnation()) {
                task.run();
            }
        });
    }

    @Override
    public void start() {
        nextIncarnation();
        terminating = false;
        history().started();
        balancer = policy.make(settings(), random.nextLong(), this, testbed().servers());
        balancer.onServers(time.nowUs(), ListKind.CACHED, lastFullList);
        testbed().list().follow(name(), (version, kind, entries) -> {
            balancer.onServers(time.nowUs(), kind, entries);
            lastFullList = kind == ListKind.FULL ? entries : lastFullList;
        });
        if (!cordoned().isEmpty()) {
            balancer.onCordoned(time.nowUs(), Set.copyOf(cordoned()));
        }
        long readyAfterUs = time.nowUs() == 0 ? 0 : testbed().scenario().fleet().readyAfterUs();
        schedule(readyAfterUs, () -> setReady(true));
    }

    @Override
    public void kill() {
        if (balancer == null) {
            return;
        }
        nextIncarnation();
        setReady(false);
        balancer = null;
        wakeTimer = null;
        testbed().list().unfollow(name());
        history().killed();
        for (SimulatedRequest request : requests.values()) {
            request.attempts.forEach(SimulatedAttempt::abandon);
            if (!request.ended) {
                time.after(0, () -> request.listener.onResult(RequestResult.BROKEN));
            }
        }
        requests.clear();
        connections.clear();
    }

    @Override
    public void terminate() {
        if (balancer == null || terminating) {
            return;
        }
        terminating = true;
        history().terminating();
        schedule(REQUESTS_AFTER_SIGTERM_US, () -> {
            setReady(false);
            killOnceDrained();
        });
        schedule(MAX_SHUTDOWN_US, this::kill);
    }

    private void killOnceDrained() {
        if (requests.values().stream().allMatch(request -> request.ended)) {
            kill();
        } else {
            schedule(DRAINED_POLL_INTERVAL_US, this::killOnceDrained);
        }
    }

    @Override
    public void send(ClientRequest request, ResponseListener listener) {
        if (!isReady() || balancer == null) {
            time.after(0, () -> listener.onResult(RequestResult.UNREACHABLE));
            return;
        }
        requests.put(request.id(), new SimulatedRequest(request, listener, time.nowUs() + request.remainingUs()));
        recordRequest(request);
        boolean markedAsRepeat =
                request.repeat() && testbed().scenario().clients().marksRepeats();
        balancer.onRequest(
                time.nowUs(),
                new BalancerRequest(
                        request.id(),
                        request.classIndex(),
                        -1,
                        request.remainingUs(),
                        0,
                        markedAsRepeat,
                        request.key()));
    }

    @Override
    public void clientGone(long requestId) {
        SimulatedRequest request = requests.get(requestId);
        if (request != null && !request.ended) {
            request.ended = true;
            history().clientGone(requestId);
            balancer.onClientGone(time.nowUs(), requestId);
            removeIfFinished(request);
        }
    }

    @Override
    public void setCordoned(String serverId, boolean cordoned) {
        if (updateCordon(serverId, cordoned)) {
            history().setCordoned(serverId, cordoned);
            if (balancer != null) {
                balancer.onCordoned(time.nowUs(), new HashSet<>(cordoned()));
            }
        }
    }

    /** Responds to a request. A second response is also written to the history, so that the checkers can detect it. */
    void respond(SimulatedRequest request, RequestResult result) {
        history().response(request.id(), result.name());
        if (!request.ended) {
            request.ended = true;
            time.after(0, () -> request.listener.onResult(result));
            removeIfFinished(request);
        }
    }

    void reportOutcome(SimulatedRequest request, AttemptOutcome outcome) {
        balancer.onOutcome(time.nowUs(), outcome);
        removeIfFinished(request);
    }

    private void removeIfFinished(SimulatedRequest request) {
        if (request.isFinished()) {
            requests.remove(request.id());
        }
    }

    @Override
    public void send(long requestId, String serverId, long startByUs, long endByUs) {
        SimulatedRequest request = requests.get(requestId);
        AppServer server = testbed().servers().get(serverId);
        SimulatedAttempt attempt = new SimulatedAttempt(this, request, server);
        request.attempts.add(attempt);
        boolean crossesZones = server.zone() != zone();
        history().attempt(requestId, attempt.number(), serverId, crossesZones);
        testbed().score().onAttempt(crossesZones);
        attempt.start(endByUs == 0 ? request.deadlineUs : Math.min(endByUs, request.deadlineUs));
    }

    @Override
    public void cancel(long requestId, int attempt) {
        SimulatedRequest request = requests.get(requestId);
        if (request != null) {
            request.attempts.get(attempt).cancel();
        }
    }

    @Override
    public void reject(long requestId, long retryAfterUs) {
        respondIfPresent(requestId, RequestResult.REFUSED);
    }

    @Override
    public void fail(long requestId) {
        respondIfPresent(requestId, RequestResult.FAILED);
    }

    private void respondIfPresent(long requestId, RequestResult result) {
        SimulatedRequest request = requests.get(requestId);
        if (request != null) {
            respond(request, result);
        }
    }

    @Override
    public void wakeAt(long atUs) {
        if (wakeTimer != null) {
            wakeTimer.cancel();
        }
        wakeTimer = schedule(Math.max(0, atUs - time.nowUs()), () -> {
            wakeTimer = null;
            balancer.onWake(time.nowUs());
        });
    }

    @Override
    public void probe(String serverId) {
        throw new IllegalStateException("probes are not supported by simulated nodes");
    }

    @Override
    public void closeIdle(String serverId) {
        connections.closeIdle(serverId);
    }

    @Override
    public void subscribe() {
        // Lists are pushed to simulated nodes.
    }

    @Override
    public void ejected(String serverId, int failures, String className) {
        // The history shows where requests go.
    }

    @Override
    public void restored(String serverId, String className) {
        // The history shows where requests go.
    }
}
