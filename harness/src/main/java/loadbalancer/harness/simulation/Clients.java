package loadbalancer.harness.simulation;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.harness.scenario.Scenario;
import loadbalancer.harness.simulation.NodePort.ClientRequest;
import loadbalancer.harness.simulation.NodePort.RequestResult;
import loadbalancer.harness.time.Timeline;
import loadbalancer.harness.time.Timeline.Timer;
import loadbalancer.policy.Idempotency;

/**
 * Open-loop clients: requests arrive at random, in one stream for each class and zone, independently of the progress of
 * earlier requests. A client retries where that is allowed. A share of the clients disconnects early.
 */
final class Clients {
    /** Longest time until the arrival rate is evaluated again, as rates change over time. */
    private static final long STEP_US = 20_000;

    private final Scenario scenario;
    private final Testbed testbed;
    private final Timeline time;
    private final double[] zipfCumulative;
    private double loadFactor = 1;
    private int heavyTailClass = -1;
    private double heavyTailShare;
    private double heavyTailFactor;
    private long lastId;
    private long openRequests;
    private boolean stopped;
    private long startedUs;

    Clients(Testbed testbed) {
        this.testbed = testbed;
        scenario = testbed.scenario();
        time = testbed.time();
        zipfCumulative = new double[scenario.load().keys()];
        double sum = 0;
        for (int i = 0; i < zipfCumulative.length; i++) {
            sum += Math.pow(i + 1, -scenario.load().keyZipf());
            zipfCumulative[i] = sum;
        }
    }

    void start() {
        startedUs = time.nowUs();
        for (int c = 0; c < scenario.classes().size(); c++) {
            for (int zone = 0; zone < scenario.fleet().zones().size(); zone++) {
                new ArrivalStream(c, zone).scheduleNext();
            }
        }
    }

    /** Stops the arrival of new requests. */
    void stop() {
        stopped = true;
    }

    /** Returns the number of requests whose client still waits. */
    long openRequests() {
        return openRequests;
    }

    /** Multiplies the rate of arrivals from now on. */
    void setLoadFactor(double factor) {
        loadFactor = factor;
    }

    /** Multiplies the work of a share of one class from now on; class -1 for none. */
    void setHeavyTail(int classIndex, double share, double factor) {
        heavyTailClass = classIndex;
        heavyTailShare = share;
        heavyTailFactor = factor;
    }

    /** Returns the current rate over the mean rate. */
    private double rateFactor() {
        List<Double> shape = scenario.load().shape();
        int second = (int) Math.min((time.nowUs() - startedUs) / 1_000_000, shape.size() - 1);
        return loadFactor * (shape.isEmpty() ? 1 : shape.get(second));
    }

    /** Returns the zone's share of the load: as listed, or falling linearly with the zone's index by the zone skew. */
    private double zoneShare(int zone) {
        if (!scenario.load().zoneShares().isEmpty()) {
            return scenario.load().zoneShares().get(zone);
        }
        int zones = scenario.fleet().zones().size();
        double position = zones == 1 ? 0 : 2.0 * zone / (zones - 1) - 1;
        return (1 - scenario.load().zoneSkew() * position) / zones;
    }

    private final class ArrivalStream {
        private final int classIndex;
        private final int zone;
        private final SplittableRandom random;
        private final double perUs;

        ArrivalStream(int classIndex, int zone) {
            this.classIndex = classIndex;
            this.zone = zone;
            random = time.stream("clients " + classIndex + " " + zone);
            perUs = scenario.load().perSecond()
                    * scenario.classes().get(classIndex).share()
                    * zoneShare(zone)
                    / 1e6;
        }

        void scheduleNext() {
            if (stopped || perUs == 0) {
                return;
            }
            double ratePerUs = perUs * rateFactor();
            long waitUs = ratePerUs == 0 ? Long.MAX_VALUE : Distributions.exponential(random, 1 / ratePerUs);
            // The exponential distribution is memoryless, so an arrival beyond this step may be redrawn in the next
            // step.
            boolean arrives = waitUs <= STEP_US;
            time.after(Math.min(waitUs, STEP_US), () -> {
                if (arrives && !stopped) {
                    new LogicalRequest(this).send();
                }
                scheduleNext();
            });
        }

        private String key() {
            if (zipfCumulative.length == 0) {
                return null;
            }
            double at = random.nextDouble() * zipfCumulative[zipfCumulative.length - 1];
            int index = Arrays.binarySearch(zipfCumulative, at);
            return "k" + (index < 0 ? -1 - index : index);
        }
    }

    /** One request of a client, with all of its attempts. */
    private final class LogicalRequest {
        private final ArrivalStream stream;
        private final Scenario.RequestClass cls;
        private final String key;
        private final double workUs;
        private final long firstSentAtUs = time.nowUs();
        private final long deadlineUs;
        private final boolean abandons;
        private int tries;
        private int currentAttempt;
        private NodePort node;
        private long id;
        private Timer timeout;

        LogicalRequest(ArrivalStream stream) {
            this.stream = stream;
            cls = scenario.classes().get(stream.classIndex);
            key = stream.key();
            double workFactor = stream.classIndex == heavyTailClass && stream.random.nextDouble() < heavyTailShare
                    ? heavyTailFactor
                    : 1;
            workUs = cls.workUs() * Distributions.spread(stream.random, cls.cv()) * workFactor;
            deadlineUs = firstSentAtUs + cls.deadlineUs();
            abandons = stream.random.nextDouble() < scenario.clients().abandonShare();
            openRequests++;
        }

        void send() {
            long remainingUs = deadlineUs - time.nowUs();
            boolean last = ++tries >= scenario.clients().tries();
            long attemptTimeoutUs = last
                    ? remainingUs
                    : (long) (remainingUs * scenario.clients().tryShare());
            if (attemptTimeoutUs < 1_000) {
                end(RequestResult.FAILED);
                return;
            }
            testbed.score().onClientAttempt(tries == 1, workUs);
            id = ++lastId;
            node = testbed.front().choose(stream.zone, stream.random);
            int attempt = ++currentAttempt;
            boolean abandonsNow = abandons && tries == 1;
            // A client waits a little beyond its deadline so that the checkers see late responses.
            long disconnectAfterUs = abandonsNow
                    ? (long) (attemptTimeoutUs * stream.random.nextDouble())
                    : attemptTimeoutUs + 2 * scenario.rules().responseGraceUs();
            timeout = time.after(disconnectAfterUs, () -> {
                currentAttempt++;
                NodePort target = node;
                long requestId = id;
                if (target != null) {
                    time.after(testbed.links().clientDelay(stream.random), () -> target.clientGone(requestId));
                }
                if (abandonsNow) {
                    openRequests--;
                    testbed.score().onClientGone();
                } else {
                    retryOrEnd(RequestResult.FAILED);
                }
            });
            if (node == null) {
                time.after(0, () -> onResult(attempt, RequestResult.UNREACHABLE));
                return;
            }
            NodePort target = node;
            ClientRequest request = new ClientRequest(id, stream.classIndex, key, workUs, attemptTimeoutUs, tries > 1);
            time.after(
                    testbed.links().clientDelay(stream.random),
                    () -> target.send(
                            request,
                            result -> time.after(
                                    testbed.links().clientDelay(stream.random), () -> onResult(attempt, result))));
        }

        private void onResult(int attempt, RequestResult result) {
            if (attempt == currentAttempt) {
                onResult(result);
            }
        }

        private void onResult(RequestResult result) {
            currentAttempt++;
            timeout.cancel();
            if (result == RequestResult.OK) {
                end(result);
            } else {
                retryOrEnd(result);
            }
        }

        private void retryOrEnd(RequestResult result) {
            boolean mayRetry = cls.idempotency() == Idempotency.IDEMPOTENT
                    || result == RequestResult.REFUSED
                    || result == RequestResult.UNREACHABLE;
            long backoffUs = scenario.clients().backoffUs();
            if (mayRetry && tries < scenario.clients().tries() && time.nowUs() + backoffUs < deadlineUs) {
                time.after(backoffUs, this::send);
            } else {
                end(result);
            }
        }

        private void end(RequestResult result) {
            openRequests--;
            testbed.score().onRequestEnd(stream.classIndex, firstSentAtUs, time.nowUs() - firstSentAtUs, result);
        }
    }
}
