package loadbalancer.membership.core;

/**
 * Decides between two processes of one name at different addresses: the one that started later keeps it, the other one
 * yields. Guards against two processes that refute each other for ever, which shows as a member that keeps changing its
 * address. As a record at another address may also be left over from an earlier process whose clock was ahead, this
 * process yields only to a rival that acknowledges a ping.
 */
final class NameConflictResolver {
    /** A process of the same name that was pinged, and until when it may acknowledge. */
    private record Challenge(Member rival, long sequence, long endsAtUs) {}

    private final MembershipSettings settings;
    private final LocalMember local;
    private final ChangeNotifier notifier;
    private final PingSender pings;
    private Challenge challenge;
    private String takenOverFrom;

    NameConflictResolver(MembershipSettings settings, LocalMember local, ChangeNotifier notifier, PingSender pings) {
        this.settings = settings;
        this.local = local;
        this.notifier = notifier;
        this.pings = pings;
    }

    /** @param claimant what another member holds of this process's name at another address */
    void onClaim(long nowUs, Member claimant) {
        if (isEarlier(claimant)) {
            takeOver(claimant);
        } else if (!claimant.state().isLive()) {
            local.continueIn(claimant.incarnation().nextGeneration());
        } else if (challenge == null) {
            long timeoutUs = settings.suspicionPeriods() * settings.probePeriodUs();
            challenge = new Challenge(claimant, pings.ping(claimant), nowUs + timeoutUs);
        }
    }

    private boolean isEarlier(Member claimant) {
        return local.self().withState(MemberState.ALIVE).supersedes(claimant.withState(MemberState.ALIVE));
    }

    /** Lets the earlier process learn of this one; once for each address, so that a claim is not answered for ever. */
    private void takeOver(Member claimant) {
        if (claimant.state().isLive() && !claimant.address().equals(takenOverFrom)) {
            takenOverFrom = claimant.address();
            notifier.notify(MembershipChange.Type.NAME_TAKEN_OVER, claimant);
            pings.ping(claimant);
        }
    }

    /** Whether this is the ack of the rival under challenge, to which this process yields its name. */
    boolean isAckOfRival(MembershipMessage.Ack ack) {
        return challenge != null
                && ack.sequence() == challenge.sequence
                && ack.sender().address().equals(challenge.rival.address())
                && ack.sender().name().equals(local.self().name());
    }

    /** The end of a challenge. */
    long nextUs() {
        return challenge == null ? Long.MAX_VALUE : challenge.endsAtUs;
    }

    void onTime(long nowUs) {
        if (challenge != null && challenge.endsAtUs <= nowUs) {
            // No ack: the record is of an earlier process of this member, whose clock was ahead.
            local.continueIn(challenge.rival.incarnation().nextGeneration());
            challenge = null;
        }
    }
}
