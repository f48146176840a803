package loadbalancer.harness.simulation;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import loadbalancer.harness.scenario.Scenario;
import org.HdrHistogram.Histogram;

/**
 * The score of a run: the weight served within the latency objective over the weight offered, for the whole run, the
 * worst window and the worst class, less the costs of cross-zone attempts, wasted work and late failures.
 */
public final class Score {
    private static final int WINDOW_S = 10;
    private static final long SECOND_US = 1_000_000;
    /** Highest latency that the histogram tracks; longer ones are recorded as this. */
    private static final long MAX_LATENCY_US = 60 * SECOND_US;

    private final Scenario scenario;
    private final double[] offeredBySecond;
    private final double[] earnedBySecond;
    private final double[] offeredByClass;
    private final double[] earnedByClass;
    private final Histogram latency = new Histogram(MAX_LATENCY_US, 3);
    private long startedUs;
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
        offeredBySecond = new double[seconds];
        earnedBySecond = new double[seconds];
        offeredByClass = new double[scenario.classes().size()];
        earnedByClass = new double[scenario.classes().size()];
    }

    /** Counts an attempt that a node has sent. */
    public void onAttempt(boolean crosses) {
        attempts++;
        crossing += crosses ? 1 : 0;
    }

    /** Clients start to send; sets the origin of the windows. */
    void onClientsStarted(long nowUs) {
        startedUs = nowUs;
    }

    void onClientAttempt(boolean first, double workUs) {
        tries++;
        firstTries += first ? 1 : 0;
        offeredUs += first ? workUs : 0;
    }

    void onClientGone() {
        left++;
    }

    /** Records the end of a request whose client has not disconnected. Only served requests enter the histogram. */
    void onRequestEnd(int classIndex, long firstSentAtUs, long tookUs, NodePort.RequestResult result) {
        Scenario.RequestClass cls = scenario.classes().get(classIndex);
        int second = (int) Math.min((firstSentAtUs - startedUs) / SECOND_US, offeredBySecond.length - 1);
        offeredBySecond[second] += cls.priorityWeight();
        offeredByClass[classIndex] += cls.priorityWeight();
        if (result == NodePort.RequestResult.OK) {
            latency.recordValue(Math.min(tookUs, MAX_LATENCY_US));
        }
        if (result == NodePort.RequestResult.OK && tookUs <= cls.latencyObjectiveUs()) {
            earnedBySecond[second] += cls.priorityWeight();
            earnedByClass[classIndex] += cls.priorityWeight();
            inTime++;
        } else {
            lateWeight += tookUs > cls.latencyObjectiveUs() ? cls.priorityWeight() : 0;
            refused += result == NodePort.RequestResult.REFUSED ? 1 : 0;
            failed += result == NodePort.RequestResult.OK || result == NodePort.RequestResult.REFUSED ? 0 : 1;
        }
    }

    private static double share(double part, double of) {
        return of == 0 ? 1 : part / of;
    }

    double whole() {
        return share(
                Arrays.stream(earnedBySecond).sum(),
                Arrays.stream(offeredBySecond).sum());
    }

    double worstWindow() {
        double worst = 1;
        for (int from = 0; from + WINDOW_S <= Math.max(WINDOW_S, offeredBySecond.length - 1); from++) {
            int to = Math.min(from + WINDOW_S, offeredBySecond.length);
            worst = Math.min(
                    worst,
                    share(
                            Arrays.stream(earnedBySecond, from, to).sum(),
                            Arrays.stream(offeredBySecond, from, to).sum()));
        }
        return worst;
    }

    double worstClass() {
        double worst = 1;
        for (int c = 0; c < offeredByClass.length; c++) {
            worst = Math.min(worst, share(earnedByClass[c], offeredByClass[c]));
        }
        return worst;
    }

    /** Computes the result of the run. */
    public Result result(List<AppServer> servers) {
        Scenario.Prices prices = scenario.prices();
        double wastedUs = servers.stream().mapToDouble(AppServer::workWastedUs).sum();
        double deductions = prices.crossZone() * share(crossing, Math.max(1, firstTries))
                + prices.waste() * share(wastedUs, Math.max(1, offeredUs))
                + prices.lateFail()
                        * share(
                                lateWeight,
                                Math.max(1e-9, Arrays.stream(offeredBySecond).sum()));
        double g = prices.whole() * whole()
                + prices.worstWindow() * worstWindow()
                + prices.worstClass() * worstClass()
                - deductions;
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
     * The result of a run. Latencies cover all served requests, including late ones.
     *
     * @param g the overall score: the weighted sum of the three shares, less costs
     * @param whole share of the weight that was served within its latency objective, over the whole run
     * @param worstWindow the same share in the worst window of 10 s
     * @param worstClass the same share in the worst request class
     * @param firstTries requests of clients
     * @param tries attempts of clients, including retries
     * @param attempts attempts of nodes
     * @param crossing attempts of nodes to another zone
     * @param inTime requests that were served within their latency objective, by any of their attempts
     * @param left requests whose client disconnected early; they are not part of the score
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
