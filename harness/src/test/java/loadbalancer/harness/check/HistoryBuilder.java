package loadbalancer.harness.check;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.harness.history.Event;
import loadbalancer.harness.history.Event.Kind;

/** Feeds a history that is made by hand, or drawn, to one checker. */
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

    /** An event of process p. */
    HistoryBuilder add(Kind kind, Object... fields) {
        return by("p", kind, fields);
    }

    HistoryBuilder by(String process, Kind kind, Object... fields) {
        Map<String, Object> named = new LinkedHashMap<>();
        for (int i = 0; i < fields.length; i += 2) {
            named.put((String) fields[i], fields[i + 1]);
        }
        checker.read(new Event(nowUs++, process, kind, named));
        return this;
    }

    /** The violations once the history has come to its end. */
    List<Violation> end() {
        checker.end(nowUs);
        return checker.violations();
    }
}
