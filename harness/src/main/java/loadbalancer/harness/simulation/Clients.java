package loadbalancer.harness.simulation;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.harness.scenario.Scenario;
import loadbalancer.harness.simulation.NodePort.Answer;
import loadbalancer.harness.simulation.NodePort.ClientRequest;
import loadbalancer.harness.time.Timeline;
import loadbalancer.harness.time.Timeline.Timer;
import loadbalancer.policy.Idempotency;

/**
 * Clients, open loop: requests arrive at random, one stream for each class and zone, whatever becomes of those
 * before. A client retries what may be retried, and a few disconnect early.
 */
final class Clients {
    /** Rates change over time: no longer wait than this is drawn. */
    private static final long STEP_US = 20_000;

    private final Scenario scenario;
    private final World world;
    private final Timeline time;
    private final double[] zipfCumulative;
    private double burstFactor = 1;
    private int heavyClass = -1;
    private double heavyShare;
    private double heavyFactor;
    private long lastId;
    private long openRequests;
    private boolean stopped;
    private long openedUs;

    Clients(World world) {
        this.world = world;
        scenario = world.scenario();
        time = world.time();
        zipfCumulative = new double[scenario.load().keys()];
        double sum = 0;
        for (int i = 0; i < zipfCumulative.length; i++) {
            sum += Math.pow(i + 1, -scenario.load().keyZipf());
            zipfCumulative[i] = sum;
        }
    }

    void start() {
        openedUs = time.nowUs();
        for (int c = 0; c < scenario.classes().size(); c++) {
            for (int zone = 0; zone < scenario.fleet().zones().size(); zone++) {
                new ArrivalStream(c, zone).scheduleNext();
            }
        }
    }

    /** No request arrives from now on. */
    void stop() {
        stopped = true;
    }

    /** Requests whose client still waits. */
    long openRequests() {
        return openRequests;
    }

    /** Multiplies the rate of arrivals from now on. */
    void setLoadFactor(double factor) {
        burstFactor = factor;
    }

    /** Multiplies the work of this share of a class from now on; -1 for no class. */
    void setHeavyTail(int classIndex, double share, double factor) {
        heavyClass = classIndex;
        heavyShare = share;
        heavyFactor = factor;
    }

    /** By how much the present rate differs from the mean. */
    private double rateFactor() {
        List<Double> shape = scenario.load().shape();
        int second = (int) Math.min((time.nowUs() - openedUs) / 1_000_000, shape.size() - 1);
        return burstFactor * (shape.isEmpty() ? 1 : shape.get(second));
    }

    /** Where the zones' shares lie evenly between the quietest and the busiest. */
    private double zoneShare(int zone) {
        if (!scenario.load().zoneShares().isEmpty()) {
            return scenario.load().zoneShares().get(zone);
        }
        int zones = scenario.fleet().zones().size();
        double place = zones == 1 ? 0 : 2.0 * zone / (zones - 1) - 1;
        return (1 - scenario.load().zoneSkew() * place) / zones;
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
            double now = perUs * rateFactor();
            long waitUs = now == 0 ? Long.MAX_VALUE : Distributions.exponential(random, 1 / now);
            // The exponential distribution has no memory: an arrival beyond this step is drawn anew in the next.
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
            int found = Arrays.binarySearch(zipfCumulative, at);
            return "k" + (found < 0 ? -1 - found : found);
        }
    }

    /** A request of one client, over all of its attempts. */
    private final class LogicalRequest {
        private final ArrivalStream stream;
        private final Scenario.RequestClass cls;
        private final String key;
        private final double workUs;
        private final long firstSentAtUs = time.nowUs();
        private final long deadlineUs;
        private final boolean leaves;
        private int tries;
        private int current;
        private NodePort node;
        private long id;
        private Timer timeout;

        LogicalRequest(ArrivalStream stream) {
            this.stream = stream;
            cls = scenario.classes().get(stream.classIndex);
            key = stream.key();
            double heavier =
                    stream.classIndex == heavyClass && stream.random.nextDouble() < heavyShare ? heavyFactor : 1;
            workUs = cls.workUs() * Distributions.spread(stream.random, cls.cv()) * heavier;
            deadlineUs = firstSentAtUs + cls.deadlineUs();
            leaves = stream.random.nextDouble() < scenario.clients().abandonShare();
            openRequests++;
        }

        void send() {
            long remainingUs = deadlineUs - time.nowUs();
            boolean last = ++tries >= scenario.clients().tries();
            long patienceUs = last
                    ? remainingUs
                    : (long) (remainingUs * scenario.clients().tryShare());
            if (patienceUs < 1_000) {
                end(Answer.FAILED);
                return;
            }
            world.score().onClientAttempt(tries == 1, workUs);
            id = ++lastId;
            node = world.front().choose(stream.zone, stream.random);
            int attempt = ++current;
            boolean leavesNow = leaves && tries == 1;
            // A client waits a little beyond its deadline, so that the checkers see responses that are late.
            long waitsUs = leavesNow
                    ? (long) (patienceUs * stream.random.nextDouble())
                    : patienceUs + 2 * scenario.rules().responseGraceUs();
            timeout = time.after(waitsUs, () -> {
                current++;
                NodePort target = node;
                long requestId = id;
                if (target != null) {
                    time.after(world.links().clientDelay(stream.random), () -> target.clientGone(requestId));
                }
                if (leavesNow) {
                    openRequests--;
                    world.score().onClientGone();
                } else {
                    retryOrEnd(Answer.FAILED);
                }
            });
            if (node == null) {
                time.after(0, () -> onAnswer(attempt, Answer.UNREACHABLE));
                return;
            }
            NodePort target = node;
            ClientRequest request = new ClientRequest(id, stream.classIndex, key, workUs, patienceUs, tries > 1);
            time.after(
                    world.links().clientDelay(stream.random),
                    () -> target.send(
                            request,
                            answer -> time.after(
                                    world.links().clientDelay(stream.random), () -> onAnswer(attempt, answer))));
        }

        private void onAnswer(int attempt, Answer answer) {
            if (attempt == current) {
                onAnswer(answer);
            }
        }

        private void onAnswer(Answer answer) {
            current++;
            timeout.cancel();
            if (answer == Answer.OK) {
                end(answer);
            } else {
                retryOrEnd(answer);
            }
        }

        private void retryOrEnd(Answer answer) {
            boolean mayRetry = cls.idempotency() == Idempotency.IDEMPOTENT
                    || answer == Answer.REFUSED
                    || answer == Answer.UNREACHABLE;
            long backoffUs = scenario.clients().backoffUs();
            if (mayRetry && tries < scenario.clients().tries() && time.nowUs() + backoffUs < deadlineUs) {
                time.after(backoffUs, this::send);
            } else {
                end(answer);
            }
        }

        private void end(Answer answer) {
            openRequests--;
            world.score().onRequestEnd(stream.classIndex, firstSentAtUs, time.nowUs() - firstSentAtUs, answer);
        }
    }
}
