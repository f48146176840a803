package loadbalancer.membership.core;

/** What the protocol does to the outside. It calls these only from within an event that it is given. */
public interface MembershipActions {
    /** Sends one datagram, which may get lost. */
    void send(String address, MembershipMessage message);

    /**
     * Starts a push-pull state sync with whoever listens there: {@link MembershipProtocol#stateSnapshot} is pushed,
     * and what comes back goes to {@link MembershipProtocol#onStateSync}.
     */
    void startStateSync(String address);

    void onChange(MembershipChange change);

    /** A direct ping was acknowledged after so long. */
    void onRoundTrip(long roundTripUs);

    /** Calls {@link MembershipProtocol#onWake} at this time or soon after; the last call counts. */
    void scheduleWake(long atUs);
}
