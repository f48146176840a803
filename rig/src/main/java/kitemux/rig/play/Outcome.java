package kitemux.rig.play;

import java.util.List;

import kitemux.rig.check.Violation;
import kitemux.rig.world.Score;

/**
 * What came of one run.
 *
 * @param violations the first of each rule that was broken
 * @param events lines of its history
 * @param digest the sum over its history, or null where that was not asked for
 */
public record Outcome(long seed, Score.Result score, List<Violation> violations, long events, String digest) {
    public boolean isKept() {
        return violations.isEmpty();
    }
}
