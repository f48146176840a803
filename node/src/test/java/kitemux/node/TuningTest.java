package kitemux.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import kitemux.Balancer.Group;
import kitemux.Balancer.Repeat;
import kitemux.Balancer.RequestClass;
import kitemux.Balancer.Settings;
import org.junit.jupiter.api.Test;

/** Settings over changes of the file. */
class TuningTest {
    private static Settings settings(RequestClass... classes) {
        Settings settings = new Settings();
        settings.classes.addAll(List.of(classes));
        return settings;
    }

    private static RequestClass requestClass(String name, long deadlineUs) {
        return new RequestClass(name, 100_000, 0, deadlineUs, 1, 0, Repeat.SAFE, Group.ALL, 0, false);
    }

    @Test
    void aClassThatIsDroppedOrHasNewRulesLeavesNoDeadlineBehind() {
        RequestClass page = requestClass("page", 1_000_000);
        Tuning first = Tuning.first(settings(page, requestClass("report", 2_500_000)));
        assertEquals(2_500_000, first.longestDeadlineUs());
        assertEquals(1_000_000, first.then(settings(page)).longestDeadlineUs());
        assertEquals(
                400_000, first.then(settings(requestClass("page", 400_000))).longestDeadlineUs());
    }
}
