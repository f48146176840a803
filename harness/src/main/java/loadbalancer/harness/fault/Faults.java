package loadbalancer.harness.fault;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The kinds of faults, by their names in scenario files. */
public final class Faults {
    private static final Map<String, Fault> BY_NAME = new TreeMap<>(Map.ofEntries(
            Map.entry("burst", new Burst()),
            Map.entry("cordoned", new Cordoned()),
            Map.entry("crash", new Crash()),
            Map.entry("fast_errors", new FastErrors()),
            Map.entry("heavy_tail", new HeavyTail()),
            Map.entry("herd", new Herd()),
            Map.entry("list_down", new ListDown()),
            Map.entry("lost_answers", new LostResponses()),
            Map.entry("partition", new Partition()),
            Map.entry("release", new Release()),
            Map.entry("resets", new Resets()),
            Map.entry("rolling_restart", new RollingRestart()),
            Map.entry("slow", new Slow()),
            Map.entry("slow_links", new SlowLinks()),
            Map.entry("vanish", new Vanish()),
            Map.entry("zone_lost", new ZoneLost())));

    private Faults() {}

    public static List<String> names() {
        return List.copyOf(BY_NAME.keySet());
    }

    /**
     * Returns the kind of fault with this name.
     *
     * @throws IllegalArgumentException if it is not one of {@link #names}
     */
    public static Fault named(String name) {
        Fault fault = BY_NAME.get(name);
        if (fault == null) {
            throw new IllegalArgumentException("unknown kind of fault: " + name);
        }
        return fault;
    }
}
