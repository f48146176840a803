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
 * A node in simulated time: the balancer, with sockets that are models. It does what the program does around the
 * balancer, in no time of its own.
 */
final class SimNode extends BaseNode implements BalancerActions {
    private static final long DRAINED_POLL_INTERVAL_US = 10_000;

    private final Timeline time;
    private final SplittableRandom random;
    private final Policy policy;
    private final SimConnections connections;
    private final Map<Long, SimRequest> requests = new HashMap<>();
    /** Null while its process does not run. */
    private Balancer balancer;

    private boolean terminating;
    private List<ServerEntry> lastFullList = List.of();
    private Timer wakeTimer;

    SimNode(int number, World world, Policy policy) {
        super(number, world);
        this.policy = policy;
        time = world.time();
        random = time.stream("node " + name());
        connections = new SimConnections(name(), world);
    }

    SplittableRandom random() {
        return random;
    }

    SimConnections connections() {
        return connections;
    }

    /** Runs this later, unless the incarnation that scheduled it has ended by then. */
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
        balancer = policy.make(settings(), random.nextLong(), this, world().servers());
        balancer.onServers(time.nowUs(), ListKind.CACHED, lastFullList);
        world().list().follow(name(), (version, kind, entries) -> {
            balancer.onServers(time.nowUs(), kind, entries);
            lastFullList = kind == ListKind.FULL ? entries : lastFullList;
        });
        if (!cordoned().isEmpty()) {
            balancer.onCordoned(time.nowUs(), Set.copyOf(cordoned()));
        }
        long readyAfterUs = time.nowUs() == 0 ? 0 : world().scenario().fleet().readyAfterUs();
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
        world().list().unfollow(name());
        history().killed();
        for (SimRequest request : requests.values()) {
            request.attempts.forEach(SimAttempt::abandon);
            if (!request.ended) {
                time.after(0, () -> request.listener.onAnswer(Answer.BROKEN));
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
            time.after(0, () -> listener.onAnswer(Answer.UNREACHABLE));
            return;
        }
        requests.put(request.id(), new SimRequest(request, listener, time.nowUs() + request.remainingUs()));
        recordRequest(request);
        boolean markedAsRepeat =
                request.repeat() && world().scenario().clients().marksRepeats();
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
        SimRequest request = requests.get(requestId);
        if (request != null && !request.ended) {
            request.ended = true;
            history().clientGone(requestId);
            balancer.onClientGone(time.nowUs(), requestId);
            removeIfOver(request);
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

    /** Also a second response to a request is written to the history: the checkers are to see it. */
    void respond(SimRequest request, Answer answer) {
        history().response(request.id(), answer.name());
        if (!request.ended) {
            request.ended = true;
            time.after(0, () -> request.listener.onAnswer(answer));
            removeIfOver(request);
        }
    }

    void reportOutcome(SimRequest request, AttemptOutcome outcome) {
        balancer.onOutcome(time.nowUs(), outcome);
        removeIfOver(request);
    }

    private void removeIfOver(SimRequest request) {
        if (request.isOver()) {
            requests.remove(request.id());
        }
    }

    @Override
    public void send(long requestId, String serverId, long beginByUs, long untilUs) {
        SimRequest request = requests.get(requestId);
        AppServer server = world().servers().get(serverId);
        SimAttempt attempt = new SimAttempt(this, request, server);
        request.attempts.add(attempt);
        boolean crossesZones = server.zone() != zone();
        history().attempt(requestId, attempt.number(), serverId, crossesZones);
        world().score().onAttempt(crossesZones);
        attempt.start(untilUs == 0 ? request.deadlineUs : Math.min(untilUs, request.deadlineUs));
    }

    @Override
    public void cancel(long requestId, int attempt) {
        SimRequest request = requests.get(requestId);
        if (request != null) {
            request.attempts.get(attempt).cancel();
        }
    }

    @Override
    public void reject(long requestId, long retryAfterUs) {
        respondIfPresent(requestId, Answer.REFUSED);
    }

    @Override
    public void fail(long requestId) {
        respondIfPresent(requestId, Answer.FAILED);
    }

    private void respondIfPresent(long requestId, Answer answer) {
        SimRequest request = requests.get(requestId);
        if (request != null) {
            respond(request, answer);
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
        throw new IllegalStateException("probes are not allowed in this world");
    }

    @Override
    public void closeIdle(String serverId) {
        connections.closeIdle(serverId);
    }

    @Override
    public void subscribe() {
        // Lists are pushed here.
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
