package loadbalancer.client;

import java.util.ArrayDeque;
import java.util.function.Consumer;

/** Actions that wait for something, in order. Not thread-safe. */
final class DeferredActions {
    private final ArrayDeque<Runnable> actions = new ArrayDeque<>();

    void add(Runnable action) {
        actions.add(action);
    }

    boolean isEmpty() {
        return actions.isEmpty();
    }

    /** Removes the actions and passes on each of them. Those that are added meanwhile stay. */
    void drainTo(Consumer<Runnable> receiver) {
        for (int count = actions.size(); count > 0; count--) {
            receiver.accept(actions.poll());
        }
    }
}
