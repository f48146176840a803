package loadbalancer.harness.check;

import java.util.List;
import loadbalancer.harness.history.Event;
import loadbalancer.harness.history.History;

/**
 * A violation of a rule.
 *
 * @param rule the name of the checker that reports it
 * @param atUs microseconds since the start of the run
 * @param what a description for reports
 * @param events what led to it, in order
 */
public record Violation(String rule, long atUs, String what, List<Event> events) {

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder(rule + " at " + atUs + " us: " + what);
        events.forEach(event -> text.append("\n    ").append(History.line(event).strip()));
        return text.toString();
    }
}
