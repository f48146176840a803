package loadbalancer.harness.simulation;

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
import loadbalancer.harness.history.Event.Kind;
import loadbalancer.harness.history.History;
import loadbalancer.harness.scenario.Scenario;
import loadbalancer.harness.time.Timeline;
import loadbalancer.harness.time.Timeline.Timer;
import loadbalancer.policy.AttemptResult;
import loadbalancer.policy.LoadReport;

/**
 * The model of one app server. Its cores are shared evenly by the jobs in its slots; further jobs wait
 * in a queue, and beyond that are rejected. It is less efficient the more it holds, pauses now and then, starts
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
    private final Runnable onCollapse;
    private final double speed;
    private final Timeline time;
    private final History history;
    private final SplittableRandom random;

    private boolean up;
    private boolean unreachable;
    private double slowdown = 1;
    private double errorShare;
    private long startedUs;
    private boolean cold;
    /** The work that a job has had that runs since the beginning, and when that was computed. */
    private double progress;

    private long progressAtUs;
    private boolean paused;
    private final PriorityQueue<Job> running = new PriorityQueue<>(
            Comparator.comparingDouble((Job job) -> job.doneAtProgress).thenComparingLong(job -> job.number));
    private final ArrayDeque<Job> queued = new ArrayDeque<>();
    private long jobs;
    private Timer nextStep;
    /** Counts starts and ends: what one incarnation has scheduled must not run in another. */
    private int incarnation;

    private final LinkedHashMap<String, Long> cachedKeys = new LinkedHashMap<>(16, 0.75f, true);
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
        private double doneAtProgress;
        private boolean abandoned;

        private Job(long number, Work work, double workUs, Reply reply) {
            this.number = number;
            this.work = work;
            this.workUs = workUs;
            this.reply = reply;
        }
    }

    /** @param onCollapse called once it has fallen over; starting it again is the caller's */
    AppServer(int number, String id, Scenario scenario, Timeline time, History history, Runnable onCollapse) {
        this.id = id;
        Scenario.Fleet fleet = scenario.fleet();
        zone = fleet.zoneOfServer(number);
        kind = scenario.servers().get(fleet.kindOfServer(number));
        this.rules = scenario.rules();
        net = scenario.net();
        meanWorkUs = scenario.meanWorkUs();
        this.onCollapse = onCollapse;
        this.time = time;
        this.history = history;
        random = time.stream("server " + id);
        double drawn = kind.speed() * Distributions.spread(random, kind.speedCv());
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

    public boolean isUnreachable() {
        return unreachable;
    }

    /** When it last started; 0 if it was up and warm as the run began. */
    public long startedUs() {
        return startedUs;
    }

    /** Requests in its slots and its queue. */
    public int requestCount() {
        return running.size() + queued.size();
    }

    /** Work on a standard core that it can do in a second when warm and not crowded. */
    public double capacity() {
        return kind.cores() * speed;
    }

    public double workDoneUs() {
        return workDoneUs;
    }

    /** The same as it is now, with what a cold start, slowness and errors take off it. */
    public double presentCapacity() {
        return up ? Math.max(1e-9, capacity() * warmth() / slowdown * (1 - errorShare)) : 1e-9;
    }

    /** Work that it did for nobody: abandoned before it was done, or lost with the process. */
    public double workWastedUs() {
        return workWastedUs;
    }

    /** Starts it; a warm start is for what ran before the run began. */
    public void start(boolean warm) {
        up = true;
        unreachable = false;
        incarnation++;
        cold = !warm;
        startedUs = warm ? 0 : Math.max(1, time.nowUs());
        progressAtUs = time.nowUs();
        history.add(id, Kind.STARTED, "at", startedUs, "zone", zone);
        schedulePause(incarnation);
    }

    /** Ends its process at once: what it holds is reset. */
    public void kill() {
        if (!up) {
            return;
        }
        updateProgress();
        up = false;
        incarnation++;
        history.add(id, Kind.KILLED);
        while (!running.isEmpty()) {
            Job broken = running.poll();
            workWastedUs += broken.workUs - Math.max(0, broken.doneAtProgress - progress);
            end(broken, AttemptResult.RESET);
        }
        while (!queued.isEmpty()) {
            end(queued.poll(), AttemptResult.RESET);
        }
        cachedKeys.clear();
        pressure.clear();
        pressureUs = 0;
        connections.clear();
        connected = 0;
        paused = false;
    }

    /** All its connections break: what is in its slots goes on, for nobody. */
    void breakConnections() {
        List<Job> broken = new ArrayList<>(running);
        broken.addAll(queued);
        queued.clear();
        for (Job job : broken) {
            end(job, AttemptResult.RESET);
            job.abandoned = true;
        }
    }

    /** Its machine says nothing any more, though connections stay open; ended by {@link #start}. */
    public void becomeUnreachable() {
        kill();
        unreachable = true;
    }

    /** Makes all work from now on take this many times as long. */
    public void setSlowdown(double factor) {
        updateProgress();
        slowdown = factor;
        scheduleNextStep();
    }

    public void setErrorShare(double share) {
        errorShare = share;
    }

    private void schedulePause(int scheduledBy) {
        if (kind.pauseEveryUs() == 0) {
            return;
        }
        time.after(Distributions.exponential(random, kind.pauseEveryUs()), () -> {
            if (scheduledBy != incarnation) {
                return;
            }
            setPaused(true);
            double grown = 1 + kind.pauseGrow() * requestCount() / Math.max(1, kind.slots());
            time.after(Math.round(kind.pauseUs() * grown * Distributions.spread(random, 0.3)), () -> {
                if (scheduledBy == incarnation) {
                    setPaused(false);
                    schedulePause(scheduledBy);
                }
            });
        });
    }

    private void setPaused(boolean to) {
        updateProgress();
        paused = to;
        scheduleNextStep();
    }

    // ---------------------------------------------------------------- connections

    /** Whether one more connection from this node is taken; it costs work. */
    public boolean connect(String node) {
        if (!up || connected >= kind.cores() * net.connectionsPerCore()) {
            return false;
        }
        connected++;
        connections.merge(node, 1, Integer::sum);
        recordPressure(net.handshakeWorkUs());
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
     * @return what to abandon by {@link #abandon}, or null
     */
    public Job submit(Work work, Reply reply) {
        if (unreachable) {
            return null;
        }
        if (!up) {
            time.after(0, () -> reply.accept(AttemptResult.CONNECT_FAILED, null));
            return null;
        }
        recordPressure(work.workUs());
        if (!up) {
            time.after(0, () -> reply.accept(AttemptResult.RESET, null));
            return null;
        }
        if (random.nextDouble() < Math.max(errorShare, kind.errorRate())) {
            int scheduledBy = incarnation;
            time.after(
                    ERROR_US,
                    () -> reply.accept(
                            scheduledBy == incarnation ? AttemptResult.ERROR : AttemptResult.RESET, report()));
            return null;
        }
        if (running.size() >= kind.slots() * kind.cores() && queued.size() >= kind.queue() * kind.cores()) {
            time.after(0, () -> reply.accept(AttemptResult.FULL, report()));
            return null;
        }
        Job job = new Job(jobs++, work, work.workUs() * (hasCached(work.key()) ? 1 - kind.keyGain() : 1), reply);
        updateProgress();
        if (running.size() < kind.slots() * kind.cores()) {
            startJob(job);
        } else {
            queued.add(job);
        }
        scheduleNextStep();
        return job;
    }

    /** Nobody waits for it any more; what waits is dropped, what is in work goes on, for nothing. */
    public void abandon(Job job) {
        if (job != null && !job.abandoned) {
            job.abandoned = true;
            queued.remove(job);
        }
    }

    private void startJob(Job job) {
        job.doneAtProgress = progress + job.workUs;
        running.add(job);
    }

    private boolean hasCached(String key) {
        if (key == null || kind.keyCacheSize() == 0) {
            return false;
        }
        Long at = cachedKeys.put(key, time.nowUs());
        if (cachedKeys.size() > kind.keyCacheSize() * kind.cores()) {
            cachedKeys.remove(cachedKeys.keySet().iterator().next());
        }
        return at != null && time.nowUs() - at <= kind.keyCacheUs();
    }

    /** A cold server that gets far more than it can do for too long falls over. */
    private void recordPressure(double workUs) {
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
        double bearable = rules.overloadMultiple() * capacity() * warmth() * rules.overloadUs() / meanWorkUs;
        if (cold && pressureUs > (bearable + 2 * Math.sqrt(bearable) + 2) * meanWorkUs) {
            history.add(id, Kind.FELL, "work", pressureUs);
            kill();
            onCollapse.run();
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

    /** By how much work each running job progresses in a microsecond. */
    private double pace() {
        if (paused || running.isEmpty()) {
            return 0;
        }
        double efficiency =
                1 / (1 + kind.thrash() * Math.max(0, requestCount() - kind.thrashAt() * kind.cores()) / kind.cores());
        return speed * warmth() * efficiency / slowdown * Math.min(1, (double) kind.cores() / running.size());
    }

    private void updateProgress() {
        long now = time.nowUs();
        progress += pace() * (now - progressAtUs);
        progressAtUs = now;
    }

    private void scheduleNextStep() {
        if (nextStep != null) {
            nextStep.cancel();
            nextStep = null;
        }
        double pace = pace();
        if (pace == 0) {
            return;
        }
        double remainingUs = Math.max(0, running.peek().doneAtProgress - progress) / pace;
        long atUs = time.nowUs() + (long) Math.ceil(Math.min(remainingUs, 1e12));
        int scheduledBy = incarnation;
        nextStep = time.at(cold ? Math.min(atUs, time.nowUs() + WARMING_STEP_US) : atUs, () -> {
            if (scheduledBy == incarnation) {
                completeDue();
            }
        });
    }

    private void completeDue() {
        updateProgress();
        cold = cold && warmth() < 1;
        while (!running.isEmpty() && running.peek().doneAtProgress <= progress + DONE_US) {
            Job done = running.poll();
            workDoneUs += done.workUs;
            if (done.abandoned) {
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
        while (!queued.isEmpty() && running.size() < kind.slots() * kind.cores()) {
            Job job = queued.poll();
            if (kind.dropsExpired() && job.work.untilUs() <= time.nowUs()) {
                end(job, AttemptResult.FULL);
            } else {
                startJob(job);
            }
        }
        scheduleNextStep();
    }

    private void end(Job job, AttemptResult result) {
        if (!job.abandoned) {
            LoadReport report = result == AttemptResult.RESET ? null : report();
            time.after(0, () -> job.reply.accept(result, report));
        }
    }

    /** Its load report, requests in its queue and in all: refreshed now and then, late and noisy. */
    private LoadReport report() {
        long now = time.nowUs();
        if (now - reportedAtUs >= kind.reportEveryUs()) {
            reportedAtUs = now;
            double[] fresh = {noisy(queued.size()), noisy(requestCount())};
            time.after(kind.reportDelayUs(), () -> reported = fresh);
        }
        return LoadReport.of(reported);
    }

    private double noisy(int count) {
        return Math.max(0, count * (1 + kind.reportNoise() * Distributions.gaussian(random)));
    }
}
