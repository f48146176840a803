package loadbalancer.harness.check;

import java.util.List;
import loadbalancer.harness.history.Event;

/**
 * Checks that no process ends unless it was killed or asked to shut down. {@code KILLED} has crash if it ended
 * unexpectedly, and its exit code.
 */
public final class NoCrash extends Checker {
    @Override
    public void read(Event event) {
        if (event.kind() == Event.Kind.KILLED && event.isTrue("crash")) {
            addViolation(
                    event.atUs(),
                    event.process() + " ended unexpectedly, exit code "
                            + event.fields().get("code"),
                    List.of(event));
        }
    }
}
