package loadbalancer.harness.check;

import java.util.List;
import loadbalancer.harness.history.Event;

/** No process ends that was neither killed nor told to end: {@code KILLED} then says crash. */
public final class NoCrash extends Checker {
    @Override
    public void read(Event event) {
        if (event.kind() == Event.Kind.KILLED && event.isTrue("crash")) {
            violated(
                    event.atUs(),
                    event.process() + " ended by itself, exit code "
                            + event.fields().get("code"),
                    List.of(event));
        }
    }
}
