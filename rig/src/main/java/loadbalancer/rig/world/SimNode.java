package loadbalancer.rig.world;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.AttemptResult;
import loadbalancer.policy.Balancer;
import loadbalancer.policy.BalancerActions;
import loadbalancer.policy.BalancerRequest;
import loadbalancer.policy.BalancerSettings;
import loadbalancer.policy.ListKind;
import loadbalancer.policy.LoadReport;
import loadbalancer.policy.ServerEntry;
import loadbalancer.rig.history.Event.Kind;
import loadbalancer.rig.history.History;
import loadbalancer.rig.time.Timeline;
import loadbalancer.rig.time.Timeline.Timer;

/**
 * A node in simulated time: the decision module, with sockets that are models. It does what the program does
 * around the module, in no time of its own.
 */
final class SimNode implements NodePort, BalancerActions {
    private final String name;
    private final int zone;
    private final BalancerSettings settings;
    private final World world;
    private final Timeline time;
    private final History history;
    private final SplittableRandom random;
    private final Policy policy;

    private Balancer module;
    private boolean ready;
    private boolean ending;
    private long sinceUs;
    private int life;
    private final Map<Long, Held> held = new HashMap<>();
    private final Map<String, Connections> connections = new HashMap<>();
    private final Set<String> cordoned = new TreeSet<>();
    private List<ServerEntry> lastKnown = List.of();
    private Timer wake;

    /** A request from its coming until its last attempt has ended. */
    private static final class Held {
        private final Try asked;
        private final Asker asker;
        private final long deadlineUs;
        private final List<Attempt> attempts = new ArrayList<>(1);
        private int outstanding;
        private boolean ended;

        Held(Try asked, Asker asker, long deadlineUs) {
            this.asked = asked;
            this.asker = asker;
            this.deadlineUs = deadlineUs;
        }
    }

    /** Connections to one server, and of which of its lives they are. */
    private static final class Connections {
        private long of = -1;
        private int idle;
        private long usedAtUs;
    }

    private final class Attempt {
        private final Held of;
        private final int number;
        private final AppServer server;
        private final long sentAtUs = time.nowUs();
        private AppServer.Job job;
        private boolean connected;
        private boolean over;
        private Timer expiry;

        Attempt(Held of, AppServer server) {
            this.of = of;
            this.server = server;
            number = of.attempts.size();
        }

        private void begin(long untilUs) {
            of.outstanding++;
            if (untilUs <= sentAtUs || number >= settings.maxAttempts || of.ended) {
                later(0, () -> ended(AttemptResult.MOOT, null));
                return;
            }
            expiry = later(untilUs - sentAtUs, () -> {
                server.giveUp(job);
                ended(connected ? AttemptResult.TIMEOUT : AttemptResult.CONNECT_FAILED, null);
            });
            long tripUs = world.links().delay(random, zone, server);
            Connections to = connections.computeIfAbsent(server.id(), id -> new Connections());
            if (to.of != server.startedUs()
                    || time.nowUs() - to.usedAtUs > world.links().net().idleUs()) {
                to.of = server.startedUs();
                to.idle = 0;
            }
            if (to.idle > 0) {
                to.idle--;
                carried(tripUs, untilUs);
            } else {
                open(tripUs, untilUs);
            }
        }

        private boolean isCutOff() {
            return server.isSilent()
                    || world.links().isCut(zone, server.zone())
                    || world.links().isCut(server.zone(), zone);
        }

        private void open(long tripUs, long untilUs) {
            if (isCutOff()) {
                later(world.links().net().connectTimeoutUs(), () -> ended(AttemptResult.CONNECT_FAILED, null));
            } else if (!server.connect(name)) {
                later(2 * tripUs, () -> ended(AttemptResult.CONNECT_FAILED, null));
            } else {
                later(2 * tripUs * world.links().net().handshakeTrips(), () -> carried(tripUs, untilUs));
            }
        }

        /** The request goes out on a connection. */
        private void carried(long tripUs, long untilUs) {
            if (over) {
                server.disconnect(name);
                return;
            }
            connected = true;
            if (isCutOff()) {
                return;
            }
            double workUs = world.attemptWork(of.asked, random);
            later(tripUs, () -> {
                if (!over) {
                    job = server.take(
                            new Work(
                                    name,
                                    of.asked.id(),
                                    number,
                                    of.asked.classIndex(),
                                    of.asked.key(),
                                    workUs,
                                    untilUs),
                            this::replied);
                }
            });
        }

        private void replied(AttemptResult result, LoadReport report) {
            if (isCutOff() || world.links().isMute(server)) {
                return;
            }
            later(world.links().delay(random, zone, server), () -> {
                if (!over) {
                    free(result);
                    ended(result, report);
                }
            });
        }

        private void free(AttemptResult result) {
            if (result != AttemptResult.RESET && result != AttemptResult.CONNECT_FAILED) {
                Connections to = connections.get(server.id());
                to.idle += to.of == server.startedUs() ? 1 : 0;
                to.usedAtUs = time.nowUs();
            }
        }

        private void cancel() {
            if (!over) {
                server.giveUp(job);
                if (connected) {
                    server.disconnect(name);
                }
                ended(AttemptResult.CANCELLED, null);
            }
        }

        private void ended(AttemptResult result, LoadReport report) {
            if (over) {
                return;
            }
            over = true;
            if (expiry != null) {
                expiry.cancel();
            }
            of.outstanding--;
            if (result == AttemptResult.TIMEOUT) {
                server.disconnect(name);
            }
            history.add(
                    name,
                    Kind.OUTCOME,
                    "request",
                    of.asked.id(),
                    "attempt",
                    number,
                    "server",
                    server.id(),
                    "result",
                    result.name());
            if (result == AttemptResult.OK && !of.ended) {
                answer(of, Answer.OK);
            }
            // The module may be in the middle of an event: what it cancelled is told afterwards.
            later(0, () -> {
                module.onOutcome(
                        time.nowUs(),
                        new AttemptOutcome(of.asked.id(), number, result, time.nowUs() - sentAtUs, of.ended, report));
                forgetIfOver(of);
            });
        }
    }

    SimNode(String name, int zone, BalancerSettings settings, World world, Policy policy) {
        this.name = name;
        this.zone = zone;
        this.settings = settings;
        this.world = world;
        this.policy = policy;
        time = world.time();
        history = world.history();
        random = time.stream("node " + name);
    }

    /** Runs it later in this life; what a life planned ends with it. */
    private Timer later(long afterUs, Runnable what) {
        int of = life;
        return time.after(afterUs, () -> {
            if (of == life) {
                what.run();
            }
        });
    }

    // ---------------------------------------------------------------- its life

    @Override
    public String name() {
        return name;
    }

    @Override
    public int zone() {
        return zone;
    }

    @Override
    public boolean isReady() {
        return ready;
    }

    @Override
    public long sinceUs() {
        return sinceUs;
    }

    @Override
    public void start() {
        life++;
        ending = false;
        history.add(name, Kind.STARTED);
        module = policy.make(settings, random.nextLong(), this, world.servers());
        module.onServers(time.nowUs(), ListKind.CACHED, lastKnown);
        world.list().follow(name, (version, kind, entries) -> {
            module.onServers(time.nowUs(), kind, entries);
            lastKnown = kind == ListKind.FULL ? entries : lastKnown;
        });
        if (!cordoned.isEmpty()) {
            module.onCordoned(time.nowUs(), Set.copyOf(cordoned));
        }
        later(time.nowUs() == 0 ? 0 : world.scenario().fleet().readyAfterUs(), () -> {
            ready = true;
            sinceUs = time.nowUs();
        });
    }

    @Override
    public void kill() {
        if (module == null) {
            return;
        }
        life++;
        ready = false;
        sinceUs = time.nowUs();
        module = null;
        wake = null;
        world.list().unfollow(name);
        history.add(name, Kind.KILLED);
        for (Held open : held.values()) {
            open.attempts.stream().filter(a -> !a.over).forEach(a -> a.server.giveUp(a.job));
            if (!open.ended) {
                time.after(0, () -> open.asker.answered(Answer.BROKEN));
            }
        }
        held.clear();
        connections.forEach((server, to) -> world.servers().get(server).disconnect(name));
        connections.clear();
    }

    @Override
    public void end() {
        if (module == null || ending) {
            return;
        }
        ending = true;
        history.add(name, Kind.ENDING);
        later(STILL_ASKED_US, () -> {
            ready = false;
            sinceUs = time.nowUs();
            endOnceEmpty();
        });
        later(MOST_END_US, this::kill);
    }

    private void endOnceEmpty() {
        if (held.values().stream().allMatch(request -> request.ended)) {
            kill();
        } else {
            later(10_000, this::endOnceEmpty);
        }
    }

    // ---------------------------------------------------------------- clients

    @Override
    public void ask(Try asked, Asker asker) {
        if (!ready || module == null) {
            time.after(0, () -> asker.answered(Answer.UNREACHABLE));
            return;
        }
        Held taken = new Held(asked, asker, time.nowUs() + asked.remainingUs());
        held.put(asked.id(), taken);
        history.add(
                name,
                Kind.ASK,
                "request",
                asked.id(),
                "class",
                settings.classes.get(asked.classIndex()).name(),
                "left",
                asked.remainingUs());
        module.onRequest(
                time.nowUs(),
                new BalancerRequest(
                        asked.id(),
                        asked.classIndex(),
                        -1,
                        asked.remainingUs(),
                        0,
                        asked.repeat() && world.scenario().clients().marksRepeats(),
                        asked.key()));
    }

    @Override
    public void left(long id) {
        Held gone = held.get(id);
        if (gone != null && !gone.ended) {
            gone.ended = true;
            history.add(name, Kind.LEFT, "request", id);
            module.onClientGone(time.nowUs(), id);
            forgetIfOver(gone);
        }
    }

    @Override
    public void cordon(String server, boolean out) {
        if (out ? cordoned.add(server) : cordoned.remove(server)) {
            history.add(name, out ? Kind.CORDON : Kind.UNCORDON, "server", server);
            if (module != null) {
                module.onCordoned(time.nowUs(), new HashSet<>(cordoned));
            }
        }
    }

    private void answer(Held request, Answer answer) {
        if (request.ended) {
            // The referee is to hear of a second one.
            history.add(name, Kind.ANSWER, "request", request.asked.id(), "answer", answer.name());
            return;
        }
        request.ended = true;
        history.add(name, Kind.ANSWER, "request", request.asked.id(), "answer", answer.name());
        time.after(0, () -> request.asker.answered(answer));
        forgetIfOver(request);
    }

    private void forgetIfOver(Held request) {
        if (request.ended && request.outstanding == 0) {
            held.remove(request.asked.id());
        }
    }

    // ---------------------------------------------------------------- what the module asks for

    @Override
    public void send(long requestId, String serverId, long beginByUs, long untilUs) {
        Held request = held.get(requestId);
        AppServer server = world.servers().get(serverId);
        Attempt attempt = new Attempt(request, server);
        request.attempts.add(attempt);
        history.add(
                name,
                Kind.SEND,
                "request",
                requestId,
                "attempt",
                attempt.number,
                "server",
                serverId,
                "crosses",
                server.zone() != zone);
        world.score().sent(server.zone() != zone);
        attempt.begin(untilUs == 0 ? request.deadlineUs : Math.min(untilUs, request.deadlineUs));
    }

    @Override
    public void cancel(long requestId, int attempt) {
        Held request = held.get(requestId);
        if (request != null) {
            request.attempts.get(attempt).cancel();
        }
    }

    @Override
    public void reject(long requestId, long retryAfterUs) {
        finish(requestId, Answer.REFUSED);
    }

    @Override
    public void fail(long requestId) {
        finish(requestId, Answer.FAILED);
    }

    private void finish(long requestId, Answer answer) {
        Held request = held.get(requestId);
        if (request != null) {
            answer(request, answer);
        }
    }

    @Override
    public void wakeAt(long atUs) {
        if (wake != null) {
            wake.cancel();
        }
        wake = later(Math.max(0, atUs - time.nowUs()), () -> {
            wake = null;
            module.onWake(time.nowUs());
        });
    }

    @Override
    public void probe(String serverId) {
        throw new IllegalStateException("probes are not allowed in this world");
    }

    @Override
    public void closeIdle(String serverId) {
        Connections to = connections.remove(serverId);
        for (int i = 0; to != null && i < to.idle; i++) {
            world.servers().get(serverId).disconnect(name);
        }
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
