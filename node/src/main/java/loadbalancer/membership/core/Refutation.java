package loadbalancer.membership.core;

/** Answers what other members claim of this process at its own address: a wrong claim is refuted at once. */
final class Refutation {
    private final LocalMember local;
    private final LocalHealth health;

    Refutation(LocalMember local, LocalHealth health) {
        this.local = local;
        this.health = health;
    }

    /** @param claimed what another member holds of this process */
    void onClaim(Member claimed) {
        Incarnation own = local.self().incarnation();
        if (claimed.incarnation().generation() > own.generation()) {
            // An earlier process at this address had a clock that was ahead. Without this its record would supersede
            // all that this one announces, for as long as others remember it.
            local.continueIn(claimed.incarnation().nextGeneration());
        } else if (claimed.state() != MemberState.ALIVE && claimed.incarnation().compareTo(own) >= 0) {
            // Others had no ack in time: a sign that this process is slow or cut off.
            health.degrade(1);
            local.continueIn(claimed.incarnation().nextRefutation());
        }
    }
}
