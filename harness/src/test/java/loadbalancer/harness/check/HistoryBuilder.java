package loadbalancer.harness.check;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.harness.history.Event;
import loadbalancer.harness.history.Event.Kind;

/** Passes the events of a test's history to one checker. */
final class HistoryBuilder {
    private final Checker checker;
    private long nowUs;

    HistoryBuilder(Checker checker) {
        this.checker = checker;
    }

    HistoryBuilder at(long us) {
        nowUs = us;
        return this;
    }

    /** Adds an event of process p. */
    HistoryBuilder add(Kind kind, Object... fields) {
        return by("p", kind, fields);
    }

    HistoryBuilder by(String process, Kind kind, Object... fields) {
        Map<String, Object> byName = new LinkedHashMap<>();
        for (int i = 0; i < fields.length; i += 2) {
            byName.put((String) fields[i], fields[i + 1]);
        }
        checker.read(new Event(nowUs++, process, kind, byName));
        return this;
    }

    /** Ends the history and returns the violations. */
    List<Violation> end() {
        checker.end(nowUs);
        return checker.violations();
    }
}
