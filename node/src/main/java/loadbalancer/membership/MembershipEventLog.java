package loadbalancer.membership;

import loadbalancer.common.Log;
import loadbalancer.membership.codec.BadFrameException;
import loadbalancer.membership.core.Member;
import loadbalancer.membership.core.MembershipChange;

/** Writes membership events to the log. {@code docs/membership.md} lists the events. */
final class MembershipEventLog {
    private MembershipEventLog() {}

    static void onStarted(String fleet, Member self) {
        Log.info("membership_started", "fleet", fleet, "member", self.name(), "address", self.address());
    }

    static void onAddressUnavailable(String address, Throwable cause) {
        Log.warn("membership_address_unavailable", "address", address, "cause", cause);
    }

    static void onChange(MembershipChange change) {
        Member member = change.member();
        Object[] fields = {
            "member", member.name(),
            "address", member.address(),
            "zone", member.zone(),
            "role", member.role(),
            "incarnation",
                    member.incarnation().generation() + "."
                            + member.incarnation().refutations()
        };
        switch (change.type()) {
            case JOINED -> Log.info("member_joined", fields);
            case UPDATED -> Log.info("member_updated", fields);
            case SUSPECTED -> Log.info("member_suspected", fields);
            case REFUTED -> Log.info("member_refuted", fields);
            case FAILED -> Log.info("member_failed", fields);
            case LEFT -> Log.info("member_left", fields);
            case FORGOTTEN -> Log.info("member_forgotten", fields);
            case NAME_YIELDED -> Log.warn("member_name_yielded", fields);
            case NAME_TAKEN_OVER -> Log.warn("member_name_taken_over", fields);
            case REJECTED -> Log.warn("member_rejected", fields);
            default -> throw new IllegalArgumentException("no event for " + change.type());
        }
    }

    /** Called for the first bad frame of each reason. Later ones are only counted. */
    static void onFirstBadFrame(BadFrameException e) {
        Log.info("membership_frame_dropped", "reason", MembershipMetrics.metricName(e.reason()), "field", e.field());
    }

    static void onDatagramError(Throwable cause) {
        Log.warn("membership_datagram_error", "cause", cause);
    }

    /** Logs an error of this process. Syncs that fail because of the peer are only counted. */
    static void onStateSyncError(Throwable cause) {
        Log.error("membership_state_sync_error", cause);
    }
}
