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
 * The model of one app server. The jobs in its slots share its cores evenly; further jobs wait in a queue and are
 * rejected once the queue is full. Its efficiency falls with the number of jobs, and it pauses from time to time. It
 * starts cold and crashes if it is overloaded while cold. A request with a cached key takes less work.
 */
public final class AppServer {
    /** Interval at which a cold server's speed is recomputed, as it rises continuously. */
    private static final long WARM_UP_STEP_US = 50_000;
    /** Latency of an error response, which costs no work. */
    private static final long ERROR_LATENCY_US = 1_000;
    /** Remaining work at which a job counts as completed, as times are rounded to microseconds. */
    private static final double COMPLETION_TOLERANCE_US = 0.5;

    private final String id;
    private final int zone;
    private final Scenario.ServerKind kind;
    private final Scenario.Rules rules;
    private final Scenario.Net net;
    private final double meanWorkUs;
    private final Runnable onOverloadCrash;
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
    /** Work done so far for a job that has run since the beginning, as of {@code progressAtUs}. */
    private double progressUs;

    private long progressAtUs;
    private boolean paused;
    private final PriorityQueue<Job> running = new PriorityQueue<>(
            Comparator.comparingDouble((Job job) -> job.doneAtProgressUs).thenComparingLong(job -> job.number));
    private final ArrayDeque<Job> queued = new ArrayDeque<>();
    private long jobCount;
    private Timer nextStep;
    /** Incremented on each start and end: a task scheduled by one incarnation must not run in another. */
    private int incarnation;

    private final LinkedHashMap<String, Long> cachedKeys = new LinkedHashMap<>(16, 0.75f, true);
    private final ArrayDeque<Arrival> recentWork = new ArrayDeque<>();
    private double recentWorkUs;
    private final Map<String, Integer> connections = new HashMap<>();
    private int connected;
    private double[] visibleReport = {0, 0};
    private long reportedAtUs = Long.MIN_VALUE / 2;
    private double workDoneUs;
    private double workWastedUs;

    /** Receives the result of an attempt and a load report, or null; called on the timeline. */
    public interface Reply extends BiConsumer<AttemptResult, LoadReport> {}

    private record Arrival(long atUs, double workUs) {}

    /** An attempt that the server has accepted. */
    public static final class Job {
        private final long number;
        private final Work work;
        private final double workUs;
        private final Reply reply;
        private double doneAtProgressUs;
        private boolean abandoned;

        private Job(long number, Work work, double workUs, Reply reply) {
            this.number = number;
            this.work = work;
            this.workUs = workUs;
            this.reply = reply;
        }
    }

    /** @param onOverloadCrash called after a crash by overload; the caller restarts the server */
    AppServer(int number, String id, Scenario scenario, Timeline time, History history, Runnable onOverloadCrash) {
        this.id = id;
        Scenario.Fleet fleet = scenario.fleet();
        zone = fleet.zoneOfServer(number);
        kind = scenario.servers().get(fleet.kindOfServer(number));
        this.rules = scenario.rules();
        net = scenario.net();
        meanWorkUs = scenario.meanWorkUs();
        this.onOverloadCrash = onOverloadCrash;
        this.time = time;
        this.history = history;
        random = time.stream("server " + id);
        double randomSpeed = kind.speed() * Distributions.spread(random, kind.speedCv());
        speed = fleet.speeds().isEmpty() ? randomSpeed : fleet.speeds().get(number);
    }

    public String id() {
        return id;
    }

    public int zone() {
        return zone;
    }

    /** Whether its process runs; false while it is unreachable. */
    public boolean isUp() {
        return up;
    }

    public boolean isUnreachable() {
        return unreachable;
    }

    /** Returns the time of its last start, or 0 if it was started warm, before the run. */
    public long startedUs() {
        return startedUs;
    }

    /** Returns the number of requests in its slots and its queue. */
    public int requestCount() {
        return running.size() + queued.size();
    }

    /** Returns the work of a standard core that it can do per unit of time when it is warm and not congested. */
    public double capacity() {
        return kind.cores() * speed;
    }

    public double workDoneUs() {
        return workDoneUs;
    }

    /** Returns the capacity reduced by warm-up, slowdown and errors; nearly 0 while the server is down. */
    public double currentCapacity() {
        return up ? Math.max(1e-9, capacity() * warmUpFactor() / slowdown * (1 - errorShare)) : 1e-9;
    }

    /** Returns the work whose result nobody received: its attempt was abandoned, or the process ended. */
    public double workWastedUs() {
        return workWastedUs;
    }

    /** Starts it; {@code warm} for a server that already ran before the run began. */
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

    /** Ends its process at once and resets all of its jobs. */
    public void kill() {
        if (!up) {
            return;
        }
        updateProgress();
        up = false;
        incarnation++;
        history.add(id, Kind.KILLED);
        while (!running.isEmpty()) {
            Job interrupted = running.poll();
            workWastedUs += interrupted.workUs - Math.max(0, interrupted.doneAtProgressUs - progressUs);
            end(interrupted, AttemptResult.RESET);
        }
        while (!queued.isEmpty()) {
            end(queued.poll(), AttemptResult.RESET);
        }
        cachedKeys.clear();
        recentWork.clear();
        recentWorkUs = 0;
        connections.clear();
        connected = 0;
        paused = false;
    }

    /** Resets all of its connections. Jobs in its slots continue, but their results are discarded. */
    void resetConnections() {
        List<Job> interrupted = new ArrayList<>(running);
        interrupted.addAll(queued);
        queued.clear();
        for (Job job : interrupted) {
            end(job, AttemptResult.RESET);
            job.abandoned = true;
        }
    }

    /** Makes its machine stop responding while connections stay open, until {@link #start}. */
    public void becomeUnreachable() {
        kill();
        unreachable = true;
    }

    /** Makes all work take this many times as long from now on. */
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
            double pauseFactor = 1 + kind.pauseGrow() * requestCount() / Math.max(1, kind.slots());
            time.after(Math.round(kind.pauseUs() * pauseFactor * Distributions.spread(random, 0.3)), () -> {
                if (scheduledBy == incarnation) {
                    setPaused(false);
                    schedulePause(scheduledBy);
                }
            });
        });
    }

    private void setPaused(boolean isPaused) {
        updateProgress();
        paused = isPaused;
        scheduleNextStep();
    }

    // ---------------------------------------------------------------- connections

    /** Accepts one more connection from this node, unless it is down or at its limit. A handshake costs work. */
    public boolean connect(String node) {
        if (!up || connected >= kind.cores() * net.connectionsPerCore()) {
            return false;
        }
        connected++;
        connections.merge(node, 1, Integer::sum);
        recordWork(net.handshakeWorkUs());
        return true;
    }

    /** The node has closed a connection. */
    public void disconnect(String node) {
        if (connections.getOrDefault(node, 0) > 0) {
            connections.merge(node, -1, Integer::sum);
            connected--;
        }
    }

    // ---------------------------------------------------------------- work

    /**
     * Submits an attempt that has arrived completely. The reply is delivered later, never from within this call; an
     * unreachable server sends none.
     *
     * @return the job, for {@link #abandon}, or null if the attempt was not accepted
     */
    public Job submit(Work work, Reply reply) {
        if (unreachable) {
            return null;
        }
        if (!up) {
            time.after(0, () -> reply.accept(AttemptResult.CONNECT_FAILED, null));
            return null;
        }
        recordWork(work.workUs());
        if (!up) {
            time.after(0, () -> reply.accept(AttemptResult.RESET, null));
            return null;
        }
        if (random.nextDouble() < Math.max(errorShare, kind.errorRate())) {
            int scheduledBy = incarnation;
            time.after(
                    ERROR_LATENCY_US,
                    () -> reply.accept(
                            scheduledBy == incarnation ? AttemptResult.ERROR : AttemptResult.RESET, report()));
            return null;
        }
        if (running.size() >= kind.slots() * kind.cores() && queued.size() >= kind.queue() * kind.cores()) {
            time.after(0, () -> reply.accept(AttemptResult.FULL, report()));
            return null;
        }
        Job job = new Job(jobCount++, work, work.workUs() * (hasCached(work.key()) ? 1 - kind.keyGain() : 1), reply);
        updateProgress();
        if (running.size() < kind.slots() * kind.cores()) {
            startJob(job);
        } else {
            queued.add(job);
        }
        scheduleNextStep();
        return job;
    }

    /** Marks the result as no longer needed: a queued job is dropped, a running job continues and is wasted. */
    public void abandon(Job job) {
        if (job != null && !job.abandoned) {
            job.abandoned = true;
            queued.remove(job);
        }
    }

    private void startJob(Job job) {
        job.doneAtProgressUs = progressUs + job.workUs;
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

    /**
     * Records arriving work, and crashes a cold server if the work of the last {@code overloadUs} exceeds its capacity
     * by more than the overload multiple. The limit allows for random variation of the arrivals.
     */
    private void recordWork(double workUs) {
        if (!cold) {
            return;
        }
        long now = time.nowUs();
        recentWork.add(new Arrival(now, workUs));
        recentWorkUs += workUs;
        while (recentWork.peek().atUs < now - rules.overloadUs()) {
            recentWorkUs -= recentWork.poll().workUs;
        }
        cold = warmUpFactor() < 1;
        double sustainableRequests =
                rules.overloadMultiple() * capacity() * warmUpFactor() * rules.overloadUs() / meanWorkUs;
        if (cold && recentWorkUs > (sustainableRequests + 2 * Math.sqrt(sustainableRequests) + 2) * meanWorkUs) {
            history.add(id, Kind.FELL, "work", recentWorkUs);
            kill();
            onOverloadCrash.run();
        }
    }

    private double warmUpFactor() {
        return !cold
                ? 1
                : Math.min(
                        1,
                        kind.warmUpInitialShare()
                                + (1 - kind.warmUpInitialShare())
                                        * (time.nowUs() - startedUs)
                                        / Math.max(1, kind.warmUpUs()));
    }

    /** Returns the work done for each running job per microsecond. */
    private double ratePerJob() {
        if (paused || running.isEmpty()) {
            return 0;
        }
        double efficiency =
                1 / (1 + kind.thrash() * Math.max(0, requestCount() - kind.thrashAt() * kind.cores()) / kind.cores());
        return speed * warmUpFactor() * efficiency / slowdown * Math.min(1, (double) kind.cores() / running.size());
    }

    private void updateProgress() {
        long now = time.nowUs();
        progressUs += ratePerJob() * (now - progressAtUs);
        progressAtUs = now;
    }

    private void scheduleNextStep() {
        if (nextStep != null) {
            nextStep.cancel();
            nextStep = null;
        }
        double ratePerJob = ratePerJob();
        if (ratePerJob == 0) {
            return;
        }
        double remainingUs = Math.max(0, running.peek().doneAtProgressUs - progressUs) / ratePerJob;
        long atUs = time.nowUs() + (long) Math.ceil(Math.min(remainingUs, 1e12));
        int scheduledBy = incarnation;
        nextStep = time.at(cold ? Math.min(atUs, time.nowUs() + WARM_UP_STEP_US) : atUs, () -> {
            if (scheduledBy == incarnation) {
                completeDue();
            }
        });
    }

    private void completeDue() {
        updateProgress();
        cold = cold && warmUpFactor() < 1;
        while (!running.isEmpty() && running.peek().doneAtProgressUs <= progressUs + COMPLETION_TOLERANCE_US) {
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

    /**
     * Returns its load report: requests in the queue and in total. It is refreshed at an interval, becomes visible
     * after a delay, and contains noise.
     */
    private LoadReport report() {
        long now = time.nowUs();
        if (now - reportedAtUs >= kind.reportEveryUs()) {
            reportedAtUs = now;
            double[] sampled = {withNoise(queued.size()), withNoise(requestCount())};
            time.after(kind.reportDelayUs(), () -> visibleReport = sampled);
        }
        return LoadReport.of(visibleReport);
    }

    private double withNoise(int count) {
        return Math.max(0, count * (1 + kind.reportNoise() * Distributions.gaussian(random)));
    }
}
