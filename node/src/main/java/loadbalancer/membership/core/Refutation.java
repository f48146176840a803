package loadbalancer.membership.core;

/**
 * Refutes wrong claims about this process at its own address by announcing this process alive in an incarnation that
 * supersedes the claim. A claim that the process is suspected, dead or left, in the current generation, is answered in
 * a higher incarnation and degrades the local health by 1. A claim of a later generation, also one that says alive, is
 * answered in a generation after that and leaves the local health unchanged. A claim about an earlier incarnation is
 * ignored, because the current one supersedes it already.
 */
final class Refutation {
    private final LocalMember local;
    private final LocalHealth health;

    Refutation(LocalMember local, LocalHealth health) {
        this.local = local;
        this.health = health;
    }

    /** @param claimed record of this process in an update from another member */
    void onClaim(Member claimed) {
        Incarnation own = local.self().incarnation();
        if (claimed.incarnation().generation() > own.generation()) {
            // The record is of an earlier process at this address whose clock was ahead. Without a later generation,
            // that record would supersede everything that this process announces, for as long as others remember it.
            local.continueIn(claimed.incarnation().nextGeneration());
        } else if (claimed.state() != MemberState.ALIVE && claimed.incarnation().compareTo(own) >= 0) {
            // Another member received no ack in time, which indicates that this process is slow or cut off.
            health.degrade(1);
            local.continueIn(claimed.incarnation().nextRefutation());
        }
    }
}
