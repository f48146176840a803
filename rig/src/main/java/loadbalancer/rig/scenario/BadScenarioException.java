package loadbalancer.rig.scenario;

import java.util.List;

/** A scenario that cannot be played: all that is wrong with it, each with key, value and what is allowed. */
public final class BadScenarioException extends Exception {
    private static final long serialVersionUID = 1;

    private final transient List<String> faults;

    BadScenarioException(List<String> faults) {
        super(String.join("\n", faults));
        this.faults = List.copyOf(faults);
    }

    public List<String> faults() {
        return faults;
    }
}
