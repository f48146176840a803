package loadbalancer.policy;

import java.util.Arrays;
import java.util.List;
import java.util.function.Supplier;

/**
 * One value for each request class, by class index. Settings that change a class's rules list it again, under the same
 * name and with a new index. Both indexes then share one value, so that measurements are kept.
 */
final class PerClass<T> {
    private final Supplier<T> initial;
    private Object[] values = new Object[0];

    PerClass(Supplier<T> initial) {
        this.initial = initial;
    }

    /** Adds values for classes that have none yet. */
    void extendTo(List<RequestClass> classes) {
        if (values.length < classes.size()) {
            int before = values.length;
            values = Arrays.copyOf(values, classes.size());
            for (int index = before; index < values.length; index++) {
                int first = firstWithName(classes, classes.get(index).name());
                values[index] = first < index ? values[first] : initial.get();
            }
        }
    }

    private static int firstWithName(List<RequestClass> classes, String name) {
        int index = 0;
        while (!classes.get(index).name().equals(name)) {
            index++;
        }
        return index;
    }

    @SuppressWarnings("unchecked")
    T get(int classIndex) {
        return (T) values[classIndex];
    }

    /** The first index with this value, or -1. */
    int indexOf(T value) {
        return Arrays.asList(values).indexOf(value);
    }

    int size() {
        return values.length;
    }
}
