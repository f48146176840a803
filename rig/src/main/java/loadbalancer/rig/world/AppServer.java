package loadbalancer.rig.world;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import loadbalancer.policy.AttemptResult;
import loadbalancer.policy.LoadReport;
import loadbalancer.rig.history.Event.Kind;
import loadbalancer.rig.history.History;
import loadbalancer.rig.scenario.Scenario;
import loadbalancer.rig.time.Timeline;
import loadbalancer.rig.time.Timeline.Timer;

/**
 * The model of one app server. Its cores are shared evenly by what is in its slots; what comes beyond waits
 * in a queue, and beyond that is turned away. It works worse the more it holds, pauses now and then, starts
 * cold, falls over when it gets far too much while it is, and does a request with a key that it remembers in
 * less time.
 */
public final class AppServer {
    /** How often a cold server's pace is worked out anew, as it rises all the time. */
    private static final long WARMING_STEP_US = 50_000;
    /** An error comes back this quickly, and costs no work. */
    private static final long ERROR_US = 1_000;
    /** What is left of a request at which it counts as done: rounding of times to microseconds. */
    private static final double DONE_US = 0.5;

    private final String id;
    private final int zone;
    private final Scenario.ServerKind kind;
    private final Scenario.Rules rules;
    private final Scenario.Net net;
    private final double meanWorkUs;
    private final Runnable fell;
    private final double speed;
    private final Timeline time;
    private final History history;
    private final SplittableRandom random;

    private boolean up;
    private boolean silent;
    private double slowBy = 1;
    private double failing;
    private long startedUs;
    private boolean cold;
    /** Given back by now, per job in the slots, and when that was reckoned. */
    private double given;

    private long givenAtUs;
    private boolean paused;
    private final PriorityQueue<Job> inWork = new PriorityQueue<>(
            Comparator.comparingDouble((Job job) -> job.doneAt).thenComparingLong(job -> job.number));
    private final ArrayDeque<Job> queued = new ArrayDeque<>();
    private long jobs;
    private Timer next;
    /** Which life this is: what was planned in an earlier one comes to nothing. */
    private int life;

    private final LinkedHashMap<String, Long> keys = new LinkedHashMap<>(16, 0.75f, true);
    private final ArrayDeque<Arrival> pressure = new ArrayDeque<>();
    private double pressureUs;
    private final Map<String, Integer> connections = new HashMap<>();
    private int connected;
    private double[] reported = {0, 0};
    private long reportedAtUs = Long.MIN_VALUE / 2;
    private double workDoneUs;
    private double workWastedUs;

    /** How an attempt at it ends; called on the timeline. */
    public interface Reply extends BiConsumer<AttemptResult, LoadReport> {}

    private record Arrival(long atUs, double workUs) {}

    /** Something that it has taken. */
    public static final class Job {
        private final long number;
        private final Work work;
        private final double workUs;
        private final Reply reply;
        private double doneAt;
        private boolean unwanted;

        private Job(long number, Work work, double workUs, Reply reply) {
            this.number = number;
            this.work = work;
            this.workUs = workUs;
            this.reply = reply;
        }
    }

    /** @param fell called once it has fallen over; starting it again is the caller's */
    AppServer(int number, String id, Scenario scenario, Timeline time, History history, Runnable fell) {
        this.id = id;
        Scenario.Fleet fleet = scenario.fleet();
        zone = fleet.zoneOfServer(number);
        kind = scenario.servers().get(fleet.kindOfServer(number));
        this.rules = scenario.rules();
        net = scenario.net();
        meanWorkUs = scenario.meanWorkUs();
        this.fell = fell;
        this.time = time;
        this.history = history;
        random = time.stream("server " + id);
        double drawn = kind.speed() * Chance.spread(random, kind.speedCv());
        speed = fleet.speeds().isEmpty() ? drawn : fleet.speeds().get(number);
    }

    public String id() {
        return id;
    }

    public int zone() {
        return zone;
    }

    /** Whether its process runs; a silent machine's does. */
    public boolean isUp() {
        return up;
    }

    public boolean isSilent() {
        return silent;
    }

    /** When it last started; 0 if it was up and warm as the run began. */
    public long startedUs() {
        return startedUs;
    }

    /** Requests in its slots and its queue. */
    public int held() {
        return inWork.size() + queued.size();
    }

    /** Work on a standard core that it can do in a second when warm and not crowded. */
    public double capacity() {
        return kind.cores() * speed;
    }

    public double workDoneUs() {
        return workDoneUs;
    }

    /** The same as it is now: cold, slow, failing or down. */
    public double presentCapacity() {
        return up ? Math.max(1e-9, capacity() * warmth() / slowBy * (1 - failing)) : 1e-9;
    }

    /** Work that it did for nobody: given up on before it was done, or lost with the process. */
    public double workWastedUs() {
        return workWastedUs;
    }

    // ---------------------------------------------------------------- its life

    /** Starts it; a warm start is for what ran before the run began. */
    public void start(boolean warm) {
        up = true;
        silent = false;
        life++;
        cold = !warm;
        startedUs = warm ? 0 : Math.max(1, time.nowUs());
        givenAtUs = time.nowUs();
        history.add(id, Kind.STARTED, "at", startedUs, "zone", zone);
        planPause(life);
    }

    /** Ends its process at once: what it holds is reset. */
    public void kill() {
        if (!up) {
            return;
        }
        reckon();
        up = false;
        life++;
        history.add(id, Kind.KILLED);
        while (!inWork.isEmpty()) {
            Job broken = inWork.poll();
            workWastedUs += broken.workUs - Math.max(0, broken.doneAt - given);
            end(broken, AttemptResult.RESET);
        }
        while (!queued.isEmpty()) {
            end(queued.poll(), AttemptResult.RESET);
        }
        keys.clear();
        pressure.clear();
        pressureUs = 0;
        connections.clear();
        connected = 0;
        paused = false;
    }

    /** All its connections break: what is in its slots goes on, for nobody. */
    void breakConnections() {
        List<Job> broken = new ArrayList<>(inWork);
        broken.addAll(queued);
        queued.clear();
        for (Job job : broken) {
            end(job, AttemptResult.RESET);
            job.unwanted = true;
        }
    }

    /** Its machine says nothing any more, though connections stay open; ended by {@link #start}. */
    public void fallSilent() {
        kill();
        silent = true;
    }

    /** Makes all work from now on take this many times as long. */
    public void slowBy(double factor) {
        reckon();
        slowBy = factor;
        plan();
    }

    public void fail(double share) {
        failing = share;
    }

    private void planPause(int of) {
        if (kind.pauseEveryUs() == 0) {
            return;
        }
        time.after(Chance.exponential(random, kind.pauseEveryUs()), () -> {
            if (of != life) {
                return;
            }
            setPaused(true);
            double grown = 1 + kind.pauseGrow() * held() / Math.max(1, kind.slots());
            time.after(Math.round(kind.pauseUs() * grown * Chance.spread(random, 0.3)), () -> {
                if (of == life) {
                    setPaused(false);
                    planPause(of);
                }
            });
        });
    }

    private void setPaused(boolean to) {
        reckon();
        paused = to;
        plan();
    }

    // ---------------------------------------------------------------- connections

    /** Whether one more connection from this node is taken; it costs work. */
    public boolean connect(String node) {
        if (!up || connected >= kind.cores() * net.connectionsPerCore()) {
            return false;
        }
        connected++;
        connections.merge(node, 1, Integer::sum);
        press(net.handshakeWorkUs());
        return true;
    }

    /** A connection has been closed by the node. */
    public void disconnect(String node) {
        if (connections.getOrDefault(node, 0) > 0) {
            connections.merge(node, -1, Integer::sum);
            connected--;
        }
    }

    // ---------------------------------------------------------------- work

    /**
     * Takes an attempt, all of which has arrived. The reply comes later, never from inside this call; a
     * silent machine gives none.
     *
     * @return what to give up on by {@link #giveUp}, or null
     */
    public Job take(Work work, Reply reply) {
        if (silent) {
            return null;
        }
        if (!up) {
            time.after(0, () -> reply.accept(AttemptResult.CONNECT_FAILED, null));
            return null;
        }
        press(work.workUs());
        if (!up) {
            time.after(0, () -> reply.accept(AttemptResult.RESET, null));
            return null;
        }
        if (random.nextDouble() < Math.max(failing, kind.errorRate())) {
            int of = life;
            time.after(ERROR_US, () -> reply.accept(of == life ? AttemptResult.ERROR : AttemptResult.RESET, report()));
            return null;
        }
        if (inWork.size() >= kind.slots() * kind.cores() && queued.size() >= kind.queue() * kind.cores()) {
            time.after(0, () -> reply.accept(AttemptResult.FULL, report()));
            return null;
        }
        Job job = new Job(jobs++, work, work.workUs() * (remembers(work.key()) ? 1 - kind.keyGain() : 1), reply);
        reckon();
        if (inWork.size() < kind.slots() * kind.cores()) {
            begin(job);
        } else {
            queued.add(job);
        }
        plan();
        return job;
    }

    /** Nobody waits for it any more; what waits is dropped, what is in work goes on, for nothing. */
    public void giveUp(Job job) {
        if (job != null && !job.unwanted) {
            job.unwanted = true;
            queued.remove(job);
        }
    }

    private void begin(Job job) {
        job.doneAt = given + job.workUs;
        inWork.add(job);
    }

    private boolean remembers(String key) {
        if (key == null || kind.keysKept() == 0) {
            return false;
        }
        Long at = keys.put(key, time.nowUs());
        if (keys.size() > kind.keysKept() * kind.cores()) {
            keys.remove(keys.keySet().iterator().next());
        }
        return at != null && time.nowUs() - at <= kind.keysKeptUs();
    }

    /** A cold server that gets far more than it can do for too long falls over. */
    private void press(double workUs) {
        if (!cold) {
            return;
        }
        long now = time.nowUs();
        pressure.add(new Arrival(now, workUs));
        pressureUs += workUs;
        while (pressure.peek().atUs < now - rules.overloadUs()) {
            pressureUs -= pressure.poll().workUs;
        }
        cold = warmth() < 1;
        double bears = rules.overloadMultiple() * capacity() * warmth() * rules.overloadUs() / meanWorkUs;
        if (cold && pressureUs > (bears + 2 * Math.sqrt(bears) + 2) * meanWorkUs) {
            history.add(id, Kind.FELL, "work", pressureUs);
            kill();
            fell.run();
        }
    }

    private double warmth() {
        return !cold
                ? 1
                : Math.min(
                        1,
                        kind.warmUpInitialShare()
                                + (1 - kind.warmUpInitialShare())
                                        * (time.nowUs() - startedUs)
                                        / Math.max(1, kind.warmUpUs()));
    }

    /** Work that each job in the slots is given in a microsecond. */
    private double pace() {
        if (paused || inWork.isEmpty()) {
            return 0;
        }
        double efficiency =
                1 / (1 + kind.thrash() * Math.max(0, held() - kind.thrashAt() * kind.cores()) / kind.cores());
        return speed * warmth() * efficiency / slowBy * Math.min(1, (double) kind.cores() / inWork.size());
    }

    private void reckon() {
        long now = time.nowUs();
        given += pace() * (now - givenAtUs);
        givenAtUs = now;
    }

    private void plan() {
        if (next != null) {
            next.cancel();
            next = null;
        }
        double pace = pace();
        if (pace == 0) {
            return;
        }
        double remainingUs = Math.max(0, inWork.peek().doneAt - given) / pace;
        long atUs = time.nowUs() + (long) Math.ceil(Math.min(remainingUs, 1e12));
        int of = life;
        next = time.at(cold ? Math.min(atUs, time.nowUs() + WARMING_STEP_US) : atUs, () -> {
            if (of == life) {
                work();
            }
        });
    }

    private void work() {
        reckon();
        cold = cold && warmth() < 1;
        while (!inWork.isEmpty() && inWork.peek().doneAt <= given + DONE_US) {
            Job done = inWork.poll();
            workDoneUs += done.workUs;
            if (done.unwanted) {
                workWastedUs += done.workUs;
            } else {
                history.add(
                        id,
                        Kind.SERVED,
                        "node",
                        done.work.node(),
                        "request",
                        done.work.request(),
                        "attempt",
                        done.work.attempt());
            }
            end(done, AttemptResult.OK);
        }
        while (!queued.isEmpty() && inWork.size() < kind.slots() * kind.cores()) {
            Job job = queued.poll();
            if (kind.dropsExpired() && job.work.untilUs() <= time.nowUs()) {
                end(job, AttemptResult.FULL);
            } else {
                begin(job);
            }
        }
        plan();
    }

    private void end(Job job, AttemptResult result) {
        if (!job.unwanted) {
            LoadReport report = result == AttemptResult.RESET ? null : report();
            time.after(0, () -> job.reply.accept(result, report));
        }
    }

    /** Its load report, requests in its queue and in all: refreshed now and then, late and noisy. */
    private LoadReport report() {
        long now = time.nowUs();
        if (now - reportedAtUs >= kind.reportEveryUs()) {
            reportedAtUs = now;
            double[] fresh = {noisy(queued.size()), noisy(held())};
            time.after(kind.reportDelayUs(), () -> reported = fresh);
        }
        return LoadReport.of(reported);
    }

    private double noisy(int count) {
        return Math.max(0, count * (1 + kind.reportNoise() * Chance.gaussian(random)));
    }
}
