package loadbalancer.membership.core;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.membership.core.MembershipChange.Type;

/**
 * Change of a member's record, and the notifications that follow from it. All transitions:
 *
 * <pre>
 * from              to            notifications
 * none, DEAD, LEFT  ALIVE         JOINED
 * none, DEAD, LEFT  SUSPECT       JOINED, SUSPECTED
 * ALIVE             ALIVE         UPDATED if attributes or generation differ
 * SUSPECT           ALIVE         REFUTED, and UPDATED if attributes or generation differ
 * ALIVE, SUSPECT    SUSPECT       SUSPECTED
 * ALIVE, SUSPECT    DEAD          FAILED
 * ALIVE, SUSPECT    LEFT          LEFT
 * none, DEAD, LEFT  DEAD, LEFT    none
 * </pre>
 *
 * @param before previous record, or null for a new name
 * @param after new record
 */
record MemberTransition(Member before, Member after) {

    private boolean wasLive() {
        return before != null && before.state().isLive();
    }

    /** Whether the member becomes live. */
    boolean isJoin() {
        return !wasLive() && after.state().isLive();
    }

    /** Whether the new record is dead or left. */
    boolean isTombstone() {
        return !after.state().isLive();
    }

    boolean isSuspicion() {
        return after.state() == MemberState.SUSPECT;
    }

    /** Types of change to notify the listener of, in this order. */
    List<Type> notifications() {
        List<Type> types = new ArrayList<>(2);
        if (isTombstone()) {
            if (wasLive()) {
                types.add(after.state() == MemberState.LEFT ? Type.LEFT : Type.FAILED);
            }
            return types;
        }
        if (isJoin()) {
            types.add(Type.JOINED);
        } else if (after.state() == MemberState.ALIVE) {
            if (before.state() == MemberState.SUSPECT) {
                types.add(Type.REFUTED);
            }
            if (isUpdate()) {
                types.add(Type.UPDATED);
            }
        }
        if (isSuspicion()) {
            types.add(Type.SUSPECTED);
        }
        return types;
    }

    private boolean isUpdate() {
        return !after.hasSameAttributes(before)
                || after.incarnation().generation() != before.incarnation().generation();
    }
}
