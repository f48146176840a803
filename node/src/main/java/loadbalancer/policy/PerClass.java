package loadbalancer.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * One value for each request class, by the class's index. Settings that change a class's rules list it again, under
 * the same name and with a new index: both indexes then share one value, so that what was measured stays.
 */
final class PerClass<T> {
    private final List<T> values = new ArrayList<>();
    private final Supplier<T> initial;

    PerClass(Supplier<T> initial) {
        this.initial = initial;
    }

    /** Adds values for the classes that have none yet. */
    void extendTo(List<RequestClass> classes) {
        for (int index = values.size(); index < classes.size(); index++) {
            int first = firstWithName(classes, classes.get(index).name());
            values.add(first < index ? values.get(first) : initial.get());
        }
    }

    private static int firstWithName(List<RequestClass> classes, String name) {
        int index = 0;
        while (!classes.get(index).name().equals(name)) {
            index++;
        }
        return index;
    }

    T get(int classIndex) {
        return values.get(classIndex);
    }

    /** The first index that has this value, or -1. */
    int indexOf(T value) {
        return values.indexOf(value);
    }

    int size() {
        return values.size();
    }
}
