package loadbalancer.membership.core;

/** Effects of the protocol, implemented by its driver. Called only within calls of {@link MembershipProtocol}. */
public interface MembershipActions {
    /** Sends a message as one datagram, which may be lost. */
    void send(String address, MembershipMessage message);

    /**
     * Starts a push-pull state sync with the process that listens at the address: pushes
     * {@link MembershipProtocol#stateSnapshot} and passes the response to {@link MembershipProtocol#onStateSync}.
     */
    void startStateSync(String address);

    void onChange(MembershipChange change);

    /** Called when the current probe is acknowledged before any indirect ping is requested. */
    void onRoundTrip(long roundTripUs);

    /** Calls {@link MembershipProtocol#onWake} at this time or soon after. Replaces the previously scheduled wake. */
    void scheduleWake(long atUs);
}
