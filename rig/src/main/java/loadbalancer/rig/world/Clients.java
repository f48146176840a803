package loadbalancer.rig.world;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.policy.Idempotency;
import loadbalancer.rig.scenario.Scenario;
import loadbalancer.rig.time.Timeline;
import loadbalancer.rig.time.Timeline.Timer;
import loadbalancer.rig.world.NodePort.Answer;
import loadbalancer.rig.world.NodePort.Try;

/**
 * Clients, open loop: they ask by chance, one stream for each class and zone, whatever becomes of what was
 * asked before. A client repeats what may be repeated, and a few leave early.
 */
final class Clients {
    /** Rates change over time: no wait is drawn for longer than this. */
    private static final long STEP_US = 20_000;

    private final Scenario scenario;
    private final World world;
    private final Timeline time;
    private final double[] zipfUpTo;
    private double burst = 1;
    private int heavyClass = -1;
    private double heavyShare;
    private double heavyBy;
    private long lastId;
    private long open;
    private boolean over;
    private long openedUs;

    Clients(World world) {
        this.world = world;
        scenario = world.scenario();
        time = world.time();
        zipfUpTo = new double[scenario.load().keys()];
        double sum = 0;
        for (int i = 0; i < zipfUpTo.length; i++) {
            sum += Math.pow(i + 1, -scenario.load().keyZipf());
            zipfUpTo[i] = sum;
        }
    }

    void start() {
        openedUs = time.nowUs();
        for (int c = 0; c < scenario.classes().size(); c++) {
            for (int zone = 0; zone < scenario.fleet().zones().size(); zone++) {
                new Source(c, zone).next();
            }
        }
    }

    /** From now on nothing new is asked. */
    void stop() {
        over = true;
    }

    /** Requests whose client still waits. */
    long open() {
        return open;
    }

    /** From now on so many times as much is asked. */
    void burst(double factor) {
        burst = factor;
    }

    /** From now on this share of a class takes so many times the work; -1 for no class. */
    void heavy(int classIndex, double share, double by) {
        heavyClass = classIndex;
        heavyShare = share;
        heavyBy = by;
    }

    /** By how much more or less is asked for now. */
    private double shape() {
        List<Double> shape = scenario.load().shape();
        int second = (int) Math.min((time.nowUs() - openedUs) / 1_000_000, shape.size() - 1);
        return burst * (shape.isEmpty() ? 1 : shape.get(second));
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

    private final class Source {
        private final int classIndex;
        private final int zone;
        private final SplittableRandom random;
        private final double perUs;

        Source(int classIndex, int zone) {
            this.classIndex = classIndex;
            this.zone = zone;
            random = time.stream("clients " + classIndex + " " + zone);
            perUs = scenario.load().perSecond()
                    * scenario.classes().get(classIndex).share()
                    * zoneShare(zone)
                    / 1e6;
        }

        void next() {
            if (over || perUs == 0) {
                return;
            }
            double now = perUs * shape();
            long wait = now == 0 ? Long.MAX_VALUE : Chance.exponential(random, 1 / now);
            // Chance has no memory: what does not come in this step is drawn anew in the next.
            boolean comes = wait <= STEP_US;
            time.after(Math.min(wait, STEP_US), () -> {
                if (comes && !over) {
                    new Wish(this).ask();
                }
                next();
            });
        }

        private String key() {
            if (zipfUpTo.length == 0) {
                return null;
            }
            double at = random.nextDouble() * zipfUpTo[zipfUpTo.length - 1];
            int found = Arrays.binarySearch(zipfUpTo, at);
            return "k" + (found < 0 ? -1 - found : found);
        }
    }

    /** What one client wants, over all its tries. */
    private final class Wish {
        private final Source from;
        private final Scenario.RequestClass cls;
        private final String key;
        private final double workUs;
        private final long askedAtUs = time.nowUs();
        private final long deadlineUs;
        private final boolean leaves;
        private int tries;
        private int current;
        private NodePort node;
        private long id;
        private Timer giveUp;

        Wish(Source from) {
            this.from = from;
            cls = scenario.classes().get(from.classIndex);
            key = from.key();
            double heavier = from.classIndex == heavyClass && from.random.nextDouble() < heavyShare ? heavyBy : 1;
            workUs = cls.workUs() * Chance.spread(from.random, cls.cv()) * heavier;
            deadlineUs = askedAtUs + cls.deadlineUs();
            leaves = from.random.nextDouble() < scenario.clients().leaving();
            open++;
        }

        void ask() {
            long remainingUs = deadlineUs - time.nowUs();
            boolean last = ++tries >= scenario.clients().tries();
            long patienceUs = last
                    ? remainingUs
                    : (long) (remainingUs * scenario.clients().tryShare());
            if (patienceUs < 1_000) {
                over(Answer.FAILED);
                return;
            }
            world.score().tried(tries == 1, workUs);
            id = ++lastId;
            node = world.front().choose(from.zone, from.random);
            int attempt = ++current;
            boolean leavesNow = leaves && tries == 1;
            // A client waits for what is late by no more than the rules bear, so that the referee sees it
            // come.
            long waitsUs = leavesNow
                    ? (long) (patienceUs * from.random.nextDouble())
                    : patienceUs + 2 * scenario.rules().answerGraceUs();
            giveUp = time.after(waitsUs, () -> {
                current++;
                NodePort asked = node;
                long gone = id;
                if (asked != null) {
                    time.after(world.links().clientDelay(from.random), () -> asked.left(gone));
                }
                if (leavesNow) {
                    open--;
                    world.score().leftEarly();
                } else {
                    tryAgain(Answer.FAILED);
                }
            });
            if (node == null) {
                time.after(0, () -> answered(attempt, Answer.UNREACHABLE));
                return;
            }
            NodePort asked = node;
            Try made = new Try(id, from.classIndex, key, workUs, patienceUs, tries > 1);
            time.after(
                    world.links().clientDelay(from.random),
                    () -> asked.ask(
                            made,
                            answer -> time.after(
                                    world.links().clientDelay(from.random), () -> answered(attempt, answer))));
        }

        private void answered(int attempt, Answer answer) {
            if (attempt == current) {
                answered(answer);
            }
        }

        private void answered(Answer answer) {
            current++;
            giveUp.cancel();
            if (answer == Answer.OK) {
                over(answer);
            } else {
                tryAgain(answer);
            }
        }

        private void tryAgain(Answer answer) {
            boolean harmless = cls.idempotency() == Idempotency.IDEMPOTENT
                    || answer == Answer.REFUSED
                    || answer == Answer.UNREACHABLE;
            long backoffUs = scenario.clients().backoffUs();
            if (harmless && tries < scenario.clients().tries() && time.nowUs() + backoffUs < deadlineUs) {
                time.after(backoffUs, this::ask);
            } else {
                over(answer);
            }
        }

        private void over(Answer answer) {
            open--;
            world.score().ended(from.classIndex, askedAtUs, time.nowUs() - askedAtUs, answer);
        }
    }
}
