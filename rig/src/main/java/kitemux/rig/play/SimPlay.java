package kitemux.rig.play;

import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import kitemux.rig.check.Checker;
import kitemux.rig.check.Rules;
import kitemux.rig.check.Violation;
import kitemux.rig.history.Event.Kind;
import kitemux.rig.history.History;
import kitemux.rig.scenario.Scenario;
import kitemux.rig.time.Simulator;
import kitemux.rig.time.Timeline;
import kitemux.rig.trouble.Troubles;
import kitemux.rig.world.Policy;
import kitemux.rig.world.World;

/** Plays a scenario in simulated time. */
public final class SimPlay {
    private static final long SECOND_US = 1_000_000;

    private SimPlay() { }

    /** Whoever follows a run while it goes on, once a simulated second. */
    public interface Progress {
        void second(long nowUs, World world);
    }

    /** With no file and nobody looking on. */
    public static Outcome play(Scenario scenario, long seed, Policy policy) {
        return play(scenario, seed, policy, null, false, (nowUs, world) -> { });
    }

    /**
     * @param file where the history goes, or null
     * @param summed whether the outcome is to hold the sum over the history
     */
    public static Outcome play(Scenario scenario, long seed, Policy policy, OutputStream file, boolean summed,
            Progress progress) {
        Simulator time = new Simulator(seed);
        List<Checker> checkers = Rules.of(scenario);
        History history = new History(time, checkers, file, summed);
        World world = World.simulated(scenario, time, history, policy);
        world.start();
        strike(world, time);
        for (long second = SECOND_US; second < world.settledUs(); second += SECOND_US) {
            time.playUntil(second);
            progress.second(second, world);
        }
        time.playUntil(world.settledUs());
        List<Violation> violations = new ArrayList<>();
        for (Checker checker : checkers) {
            checker.end(time.nowUs());
            checker.violations().stream().limit(1).forEach(violations::add);
        }
        return new Outcome(seed, world.score().result(List.copyOf(world.servers().values())), violations,
                history.events(), summed ? history.digest() : null);
    }

    /** Plans the troubles of a world's scenario. */
    static void strike(World world, Timeline time) {
        int number = 0;
        for (Scenario.Trouble trouble : world.scenario().troubles()) {
            SplittableRandom random = time.stream("trouble " + number++ + " " + trouble.kind());
            time.at(trouble.atUs(), () -> {
                world.history().add("rig", Kind.FAULT, "kind", trouble.kind(), "part", trouble.part(), "size",
                        trouble.size());
                Runnable heal = Troubles.named(trouble.kind()).strike(world, trouble, random);
                time.at(trouble.endUs(), () -> {
                    heal.run();
                    world.history().add("rig", Kind.HEALED, "kind", trouble.kind());
                });
            });
        }
    }
}
