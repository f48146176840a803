package loadbalancer.harness.scenario;

import java.util.List;

/** A scenario that cannot be played: all that is wrong with it, each with key, value and what is allowed. */
public final class BadScenarioException extends Exception {
    private static final long serialVersionUID = 1;

    private final transient List<String> problems;

    BadScenarioException(List<String> problems) {
        super(String.join("\n", problems));
        this.problems = List.copyOf(problems);
    }

    public List<String> problems() {
        return problems;
    }
}
