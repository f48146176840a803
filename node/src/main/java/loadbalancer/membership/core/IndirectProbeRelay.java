package loadbalancer.membership.core;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Pings members on behalf of members that received no ack from them, and forwards the ack or sends a nack. */
final class IndirectProbeRelay {
    /** Bounds memory. At the limit a new request evicts the oldest one, which then gets neither ack nor nack. */
    private static final int MAX_PENDING = 1_000;

    /** @param sequence sequence number of the ping request, chosen by the requester */
    private record Relay(String requesterAddress, long sequence, long expiresAtUs) {}

    private final MembershipSettings settings;
    private final LocalMember local;
    private final Gossiper gossiper;
    private final PingSender pings;
    /** By the sequence number of this process's ping. The oldest comes first and is the first to expire. */
    private final Map<Long, Relay> pending = new LinkedHashMap<>();

    IndirectProbeRelay(MembershipSettings settings, LocalMember local, Gossiper gossiper, PingSender pings) {
        this.settings = settings;
        this.local = local;
        this.gossiper = gossiper;
        this.pings = pings;
    }

    void onPingRequest(long nowUs, MembershipMessage.PingRequest request) {
        if (pending.size() >= MAX_PENDING) {
            pending.remove(oldestSequence());
        }
        // The nack must arrive before the requester's probe ends, or the requester's local health is degraded.
        long timeoutUs =
                Math.min(settings.probeTimeoutUs(), (settings.probePeriodUs() - settings.probeTimeoutUs()) / 2);
        long pingSequence = pings.ping(request.targetName(), request.targetAddress());
        pending.put(pingSequence, new Relay(request.sender().address(), request.sequence(), nowUs + timeoutUs));
    }

    /** Forwards the ack to the requester if it belongs to a relayed ping. */
    void onAck(MembershipMessage.Ack ack) {
        Relay relay = pending.remove(ack.sequence());
        if (relay != null) {
            gossiper.send(relay.requesterAddress, new MembershipMessage.Ack(relay.sequence, ack.sender(), List.of()));
        }
    }

    long nextUs() {
        return pending.isEmpty() ? Long.MAX_VALUE : oldest().expiresAtUs;
    }

    void onTime(long nowUs) {
        while (!pending.isEmpty() && oldest().expiresAtUs <= nowUs) {
            Relay expired = pending.remove(oldestSequence());
            gossiper.send(
                    expired.requesterAddress, new MembershipMessage.Nack(expired.sequence, local.self(), List.of()));
        }
    }

    private Long oldestSequence() {
        return pending.keySet().iterator().next();
    }

    private Relay oldest() {
        return pending.values().iterator().next();
    }

    void stop() {
        pending.clear();
    }
}
