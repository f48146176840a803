package loadbalancer.rig.world;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import loadbalancer.rig.scenario.Scenario;
import org.HdrHistogram.Histogram;

/**
 * What a run earned: the worth answered within its aim over the worth asked for, in three views, less prices.
 */
public final class Score {
    private static final int WINDOW_S = 10;
    private static final long SECOND_US = 1_000_000;
    /** Longest time told apart, and to how many digits. */
    private static final long MOST_US = 60 * SECOND_US;

    private final Scenario scenario;
    private final double[] askedBySecond;
    private final double[] earnedBySecond;
    private final double[] askedByClass;
    private final double[] earnedByClass;
    private final Histogram latency = new Histogram(MOST_US, 3);
    private long openedUs;
    private double lateWeight;
    private double offeredUs;
    private long firstTries;
    private long tries;
    private long attempts;
    private long crossing;
    private long inTime;
    private long refused;
    private long failed;
    private long left;

    Score(Scenario scenario) {
        this.scenario = scenario;
        int seconds = (int) (scenario.lengthUs() / SECOND_US) + 1;
        askedBySecond = new double[seconds];
        earnedBySecond = new double[seconds];
        askedByClass = new double[scenario.classes().size()];
        earnedByClass = new double[scenario.classes().size()];
    }

    /** An attempt has left a node. */
    public void sent(boolean crosses) {
        attempts++;
        crossing += crosses ? 1 : 0;
    }

    /** Clients begin to ask. */
    void openedAt(long nowUs) {
        openedUs = nowUs;
    }

    void tried(boolean first, double workUs) {
        tries++;
        firstTries += first ? 1 : 0;
        offeredUs += first ? workUs : 0;
    }

    void leftEarly() {
        left++;
    }

    /**
     * A client's request is over, and it was still there; how long it took counts only where it was served.
     */
    void ended(int classIndex, long askedAtUs, long tookUs, NodePort.Answer answer) {
        Scenario.RequestClass cls = scenario.classes().get(classIndex);
        int second = (int) Math.min((askedAtUs - openedUs) / SECOND_US, askedBySecond.length - 1);
        askedBySecond[second] += cls.priorityWeight();
        askedByClass[classIndex] += cls.priorityWeight();
        if (answer == NodePort.Answer.OK) {
            latency.recordValue(Math.min(tookUs, MOST_US));
        }
        if (answer == NodePort.Answer.OK && tookUs <= cls.latencyObjectiveUs()) {
            earnedBySecond[second] += cls.priorityWeight();
            earnedByClass[classIndex] += cls.priorityWeight();
            inTime++;
        } else {
            lateWeight += tookUs > cls.latencyObjectiveUs() ? cls.priorityWeight() : 0;
            refused += answer == NodePort.Answer.REFUSED ? 1 : 0;
            failed += answer == NodePort.Answer.OK || answer == NodePort.Answer.REFUSED ? 0 : 1;
        }
    }

    private static double share(double part, double of) {
        return of == 0 ? 1 : part / of;
    }

    double whole() {
        return share(
                Arrays.stream(earnedBySecond).sum(),
                Arrays.stream(askedBySecond).sum());
    }

    double worstWindow() {
        double worst = 1;
        for (int from = 0; from + WINDOW_S <= Math.max(WINDOW_S, askedBySecond.length - 1); from++) {
            int to = Math.min(from + WINDOW_S, askedBySecond.length);
            worst = Math.min(
                    worst,
                    share(
                            Arrays.stream(earnedBySecond, from, to).sum(),
                            Arrays.stream(askedBySecond, from, to).sum()));
        }
        return worst;
    }

    double worstClass() {
        double worst = 1;
        for (int c = 0; c < askedByClass.length; c++) {
            worst = Math.min(worst, share(earnedByClass[c], askedByClass[c]));
        }
        return worst;
    }

    /** Sums the run up. */
    public Result result(List<AppServer> servers) {
        Scenario.Prices prices = scenario.prices();
        double wastedUs = servers.stream().mapToDouble(AppServer::workWastedUs).sum();
        double off = prices.crossZone() * share(crossing, Math.max(1, firstTries))
                + prices.waste() * share(wastedUs, Math.max(1, offeredUs))
                + prices.lateFail()
                        * share(
                                lateWeight,
                                Math.max(1e-9, Arrays.stream(askedBySecond).sum()));
        double g = prices.whole() * whole()
                + prices.worstWindow() * worstWindow()
                + prices.worstClass() * worstClass()
                - off;
        return new Result(
                g,
                whole(),
                worstWindow(),
                worstClass(),
                firstTries,
                tries,
                attempts,
                crossing,
                inTime,
                refused,
                failed,
                left,
                latency.getValueAtPercentile(50),
                latency.getValueAtPercentile(99));
    }

    /**
     * What came of a run. Latencies are microseconds over all that was served, late or not.
     *
     * @param g the one figure
     * @param inTime first tries that were served within their aim, by whichever try
     * @param left first tries whose client left early; they count for nothing else
     */
    public record Result(
            double g,
            double whole,
            double worstWindow,
            double worstClass,
            long firstTries,
            long tries,
            long attempts,
            long crossing,
            long inTime,
            long refused,
            long failed,
            long left,
            long medianUs,
            long p99Us) {

        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "G %.4f  whole %.4f  worst 10 s %.4f  worst class %.4f  first tries %d"
                            + "  attempts %d (%d crossing)  in time %d  refused %d  failed %d"
                            + "  p50 %.1f ms  p99 %.1f ms",
                    g,
                    whole,
                    worstWindow,
                    worstClass,
                    firstTries,
                    attempts,
                    crossing,
                    inTime,
                    refused,
                    failed,
                    medianUs / 1e3,
                    p99Us / 1e3);
        }
    }
}
