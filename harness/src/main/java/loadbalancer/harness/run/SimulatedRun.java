package loadbalancer.harness.run;

import java.io.OutputStream;
import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.harness.check.Checker;
import loadbalancer.harness.check.Checkers;
import loadbalancer.harness.fault.ActiveFault;
import loadbalancer.harness.fault.Faults;
import loadbalancer.harness.history.Event.Kind;
import loadbalancer.harness.history.History;
import loadbalancer.harness.scenario.Scenario;
import loadbalancer.harness.simulation.Policy;
import loadbalancer.harness.simulation.Testbed;
import loadbalancer.harness.time.Simulator;
import loadbalancer.harness.time.Timeline;

/** Runs a scenario in simulated time. */
public final class SimulatedRun {
    private static final long SECOND_US = 1_000_000;
    /**
     * Prefix of the name of each fault's random stream. It keeps the older word for a fault: the seed of a stream is
     * derived from its name, and a recorded seed has to give the same run, byte for byte.
     */
    private static final String STREAM_PREFIX = "trouble ";

    private SimulatedRun() {}

    /** Receives the progress of a run, once per simulated second. */
    public interface Progress {
        void onSecond(long nowUs, Testbed testbed);
    }

    /** Runs a scenario without a history file, a digest or a progress listener. */
    public static Outcome run(Scenario scenario, long seed, Policy policy) {
        return run(scenario, seed, policy, null, false, (nowUs, testbed) -> {});
    }

    /**
     * Runs a scenario to its end.
     *
     * @param file receives the history, or null; the caller closes it
     * @param withDigest whether the outcome contains the digest of the history
     */
    public static Outcome run(
            Scenario scenario, long seed, Policy policy, OutputStream file, boolean withDigest, Progress progress) {
        Simulator time = new Simulator(seed);
        List<Checker> checkers = Checkers.of(scenario, 0);
        History history = new History(time, checkers, file, withDigest);
        history.add("rig", Kind.RUN, "scenario", scenario.name(), "seed", seed, "real", false);
        Testbed testbed = Testbed.simulated(scenario, time, history, policy);
        testbed.start();
        testbed.startClients();
        scheduleFaults(testbed, time);
        for (long second = SECOND_US; second < testbed.endUs(); second += SECOND_US) {
            time.runUntil(second);
            progress.onSecond(second, testbed);
        }
        time.runUntil(testbed.endUs());
        return Outcome.of(seed, testbed, history, checkers, time.nowUs(), withDigest);
    }

    /** Schedules the faults of a testbed's scenario; their times count from now, when clients begin to send. */
    public static void scheduleFaults(Testbed testbed, Timeline time) {
        int number = 0;
        for (Scenario.FaultSpec spec : testbed.scenario().faults()) {
            SplittableRandom random = time.stream(STREAM_PREFIX + number++ + " " + spec.kind());
            time.after(spec.atUs(), () -> inject(spec, testbed, time, random));
        }
    }

    private static void inject(Scenario.FaultSpec spec, Testbed testbed, Timeline time, SplittableRandom random) {
        ActiveFault active = Faults.named(spec.kind()).inject(testbed, spec, random);
        String targets = String.join(" ", active.targets());
        testbed.history().add("rig", Kind.FAULT, "kind", spec.kind(), "who", targets, "size", spec.size());
        time.after(spec.lengthUs(), () -> {
            active.heal().run();
            testbed.history().add("rig", Kind.HEALED, "kind", spec.kind());
        });
    }
}
