package loadbalancer.membership.core;

import java.util.List;

/** Message from one member to another in one datagram. Every message can carry piggybacked gossip updates. */
public sealed interface MembershipMessage {

    /** Current record of the sender; in a forwarded ack, of the member that was pinged. */
    Member sender();

    List<GossipUpdate> updates();

    /** Returns this message with other updates. */
    MembershipMessage withUpdates(List<GossipUpdate> others);

    /**
     * Asks a member for an ack.
     *
     * @param sequence chosen by the sender and returned in the ack
     * @param targetName name of the pinged member; a process of another name at the same address does not send an ack
     */
    record Ping(long sequence, String targetName, Member sender, List<GossipUpdate> updates)
            implements MembershipMessage {
        @Override
        public Ping withUpdates(List<GossipUpdate> others) {
            return new Ping(sequence, targetName, sender, others);
        }
    }

    /**
     * Acknowledges a ping.
     *
     * @param sequence sequence number of the ping, or of the ping request if the ack is forwarded
     */
    record Ack(long sequence, Member sender, List<GossipUpdate> updates) implements MembershipMessage {
        @Override
        public Ack withUpdates(List<GossipUpdate> others) {
            return new Ack(sequence, sender, others);
        }
    }

    /**
     * Asks a member for an indirect ping: it pings the target, and forwards the target's ack or sends a nack.
     *
     * @param sequence chosen by the requester and returned in the ack or nack
     */
    record PingRequest(
            long sequence, String targetName, String targetAddress, Member sender, List<GossipUpdate> updates)
            implements MembershipMessage {
        @Override
        public PingRequest withUpdates(List<GossipUpdate> others) {
            return new PingRequest(sequence, targetName, targetAddress, sender, others);
        }
    }

    /** Carries only updates and the record of the sender: alive, or left when it announces its leave. */
    record Gossip(Member sender, List<GossipUpdate> updates) implements MembershipMessage {
        @Override
        public Gossip withUpdates(List<GossipUpdate> others) {
            return new Gossip(sender, others);
        }
    }

    /**
     * Response to a ping request whose target has not sent an ack in time. Shows that the sender itself is alive.
     *
     * @param sequence sequence number of the ping request
     */
    record Nack(long sequence, Member sender, List<GossipUpdate> updates) implements MembershipMessage {
        @Override
        public Nack withUpdates(List<GossipUpdate> others) {
            return new Nack(sequence, sender, others);
        }
    }
}
