package loadbalancer.membership.core;

/**
 * Resolves a conflict between two processes with the same name at different addresses. The process with the higher
 * incarnation, usually the one that started later, keeps the name, and the other one yields. Guards against two
 * processes that refute each other indefinitely, which shows as a member that keeps changing its address. A record at
 * another address may also be left over from an earlier process whose clock was ahead, so this process yields only to a
 * rival that acknowledges a ping.
 */
final class NameConflictResolver {
    /** Pending ping of a later process with the same name, and the end of the time for its ack. */
    private record Challenge(Member rival, long sequence, long endsAtUs) {}

    private final MembershipSettings settings;
    private final LocalMember local;
    private final ChangeNotifier notifier;
    private final PingSender pings;
    private Challenge challenge;
    private String lastTakenOverAddress;

    NameConflictResolver(MembershipSettings settings, LocalMember local, ChangeNotifier notifier, PingSender pings) {
        this.settings = settings;
        this.local = local;
        this.notifier = notifier;
        this.pings = pings;
    }

    /**
     * Handles a record with this process's name and another address. An earlier process that is live is pinged, so that
     * it yields. A dead or left record of a later process is superseded by a new generation of this process. A live
     * record of a later process is challenged by a ping, unless a challenge is pending.
     */
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

    /**
     * Notifies the listener of an earlier process that is live, and pings it so that it learns of this one. Ignores a
     * claim with the same address as the last one, so that repeated claims do not cause endless pings.
     */
    private void takeOver(Member claimant) {
        if (claimant.state().isLive() && !claimant.address().equals(lastTakenOverAddress)) {
            lastTakenOverAddress = claimant.address();
            notifier.notify(MembershipChange.Type.NAME_TAKEN_OVER, claimant);
            pings.ping(claimant);
        }
    }

    /** Whether this ack comes from the challenged rival. If so, this process yields its name. */
    boolean isAckOfRival(MembershipMessage.Ack ack) {
        return challenge != null
                && ack.sequence() == challenge.sequence
                && ack.sender().address().equals(challenge.rival.address())
                && ack.sender().name().equals(local.self().name());
    }

    /** End of the current challenge, or Long.MAX_VALUE. */
    long nextUs() {
        return challenge == null ? Long.MAX_VALUE : challenge.endsAtUs;
    }

    void onTime(long nowUs) {
        if (challenge != null && challenge.endsAtUs <= nowUs) {
            // No ack: the record belongs to an earlier process of this member, whose clock was ahead.
            local.continueIn(challenge.rival.incarnation().nextGeneration());
            challenge = null;
        }
    }
}
