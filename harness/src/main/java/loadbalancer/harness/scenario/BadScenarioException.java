package loadbalancer.harness.scenario;

import java.util.List;

/** Thrown for an invalid scenario. It lists all problems, each with key, value and the allowed values. */
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
