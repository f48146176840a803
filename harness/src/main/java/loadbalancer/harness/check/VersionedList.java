package loadbalancer.harness.check;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import loadbalancer.harness.history.Event;

/**
 * Checks that a list whose every change has a revision is linearizable. No revision is used twice. A call that begins
 * after another has returned sees at least the revision of that one. A read returns exactly the result of all changes
 * up to its revision. Revisions define the order, so that no search is needed. Of a read that is marked as stale only
 * the content is checked.
 *
 * <p>{@code INVOKE} has call, op (put, remove, list), entry, value and stale. {@code RETURN} has call, ok, revision,
 * and for list the digest, which consists of the sorted entries, as in {@code a=1,b=2}.
 */
public final class VersionedList extends Checker {
    private final Map<Long, Event> open = new HashMap<>();
    private final Map<Long, Long> newestAtInvoke = new HashMap<>();
    private final TreeMap<Long, Event> changes = new TreeMap<>();
    private final Map<Event, Event> reads = new LinkedHashMap<>();
    private long newestRevision;

    @Override
    public void read(Event event) {
        switch (event.kind()) {
            case INVOKE -> {
                if (!event.has("key")) {
                    open.put(event.number("call"), event);
                    newestAtInvoke.put(event.number("call"), newestRevision);
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
        long newestBefore = newestAtInvoke.remove(event.number("call"));
        boolean list = invoked.text("op").equals("list");
        if (revision < newestBefore + (list ? 0 : 1) && !invoked.isTrue("stale")) {
            addViolation(
                    event.atUs(),
                    "revision " + revision + " after revision " + newestBefore + " was returned",
                    List.of(invoked, event));
        }
        if (list) {
            reads.put(invoked, event);
        } else {
            Event twice = changes.put(revision, invoked);
            if (twice != null) {
                addViolation(event.atUs(), "revision " + revision + " used twice", List.of(twice, invoked, event));
            }
        }
        newestRevision = Math.max(newestRevision, invoked.isTrue("stale") ? 0 : revision);
    }

    @Override
    public void end(long nowUs) {
        reads.forEach((invoked, returned) -> {
            long revision = returned.number("revision");
            // A change that never returned may have taken effect. The content can be checked only if the changes of
            // all revisions are known.
            if (changes.headMap(revision, true).size() == revision
                    && !contentAt(revision).equals(returned.text("digest"))) {
                addViolation(
                        returned.atUs(),
                        "revision " + revision + " has the content " + contentAt(revision),
                        List.of(invoked, returned));
            }
        });
    }

    /** Returns the entries after all changes up to a revision, in the form of a digest. */
    private String contentAt(long revision) {
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
