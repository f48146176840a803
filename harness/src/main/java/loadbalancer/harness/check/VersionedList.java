package loadbalancer.harness.check;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import loadbalancer.harness.history.Event;

/**
 * A list whose every change has a revision is linearizable: revisions are never used twice, a call that began
 * after another returned sees at least its revision, and a read holds just what the changes up to its
 * revision made. As revisions tell the order, no search is needed. {@code INVOKE} has call, op (put, remove,
 * list), entry and value; {@code RETURN} has call, ok, revision, and for list its digest, made of entries in
 * order as {@code a=1,b=2}. A read that says it may be stale is held to its content only.
 */
public final class VersionedList extends Checker {
    private final Map<Long, Event> open = new HashMap<>();
    private final Map<Long, Long> seenAtCall = new HashMap<>();
    private final TreeMap<Long, Event> changes = new TreeMap<>();
    private final Map<Event, Event> reads = new LinkedHashMap<>();
    private long newest;

    @Override
    public void read(Event event) {
        switch (event.kind()) {
            case INVOKE -> {
                if (!event.has("key")) {
                    open.put(event.number("call"), event);
                    seenAtCall.put(event.number("call"), newest);
                }
            }
            case RETURN -> returned(event);
            default -> {}
        }
    }

    private void returned(Event event) {
        Event invoked = open.remove(event.number("call"));
        if (invoked == null || !event.isTrue("ok")) {
            return;
        }
        long revision = event.number("revision");
        long before = seenAtCall.remove(event.number("call"));
        boolean list = invoked.text("op").equals("list");
        if (revision < before + (list ? 0 : 1) && !invoked.isTrue("stale")) {
            violated(
                    event.atUs(),
                    "revision " + revision + " after " + before + " had come back",
                    List.of(invoked, event));
        }
        if (list) {
            reads.put(invoked, event);
        } else {
            Event twice = changes.put(revision, invoked);
            if (twice != null) {
                violated(event.atUs(), "revision " + revision + " used twice", List.of(twice, invoked, event));
            }
        }
        newest = Math.max(newest, invoked.isTrue("stale") ? 0 : revision);
    }

    @Override
    public void end(long nowUs) {
        reads.forEach((invoked, returned) -> {
            long revision = returned.number("revision");
            // Changes that never returned may have happened: only where all revisions are known can it be
            // told.
            if (changes.headMap(revision, true).size() == revision
                    && !holds(revision).equals(returned.text("digest"))) {
                violated(
                        returned.atUs(),
                        "revision " + revision + " holds " + holds(revision),
                        List.of(invoked, returned));
            }
        });
    }

    private String holds(long revision) {
        TreeMap<String, String> entries = new TreeMap<>();
        for (Event change : changes.headMap(revision, true).values()) {
            if (change.text("op").equals("put")) {
                entries.put(change.text("entry"), change.text("value"));
            } else {
                entries.remove(change.text("entry"));
            }
        }
        return String.join(
                ",",
                entries.entrySet().stream()
                        .map(e -> e.getKey() + "=" + e.getValue())
                        .toList());
    }
}
