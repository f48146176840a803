package loadbalancer.membership.core;

import java.util.List;

/** What a member sends to another in one datagram; gossip updates are piggybacked on all of them. */
public sealed interface MembershipMessage {

    /** Who sends it, with its present state. */
    Member sender();

    List<GossipUpdate> updates();

    /** The same with other updates. */
    MembershipMessage withUpdates(List<GossipUpdate> others);

    /**
     * Asks a member for an ack.
     *
     * @param sequence comes back with the ack; the sender's own
     * @param targetName who is meant: another process that has taken the address does not answer
     */
    record Ping(long sequence, String targetName, Member sender, List<GossipUpdate> updates)
            implements MembershipMessage {
        @Override
        public Ping withUpdates(List<GossipUpdate> others) {
            return new Ping(sequence, targetName, sender, others);
        }
    }

    /**
     * Answers a ping.
     *
     * @param sequence of the ping
     */
    record Ack(long sequence, Member sender, List<GossipUpdate> updates) implements MembershipMessage {
        @Override
        public Ack withUpdates(List<GossipUpdate> others) {
            return new Ack(sequence, sender, others);
        }
    }

    /**
     * Asks a member for an indirect ping: it pings the target, and passes the target's ack on or sends a nack.
     *
     * @param sequence comes back with the ack or nack
     */
    record PingRequest(
            long sequence, String targetName, String targetAddress, Member sender, List<GossipUpdate> updates)
            implements MembershipMessage {
        @Override
        public PingRequest withUpdates(List<GossipUpdate> others) {
            return new PingRequest(sequence, targetName, targetAddress, sender, others);
        }
    }

    /** Carries nothing but updates, and shows that the sender is alive. */
    record Gossip(Member sender, List<GossipUpdate> updates) implements MembershipMessage {
        @Override
        public Gossip withUpdates(List<GossipUpdate> others) {
            return new Gossip(sender, others);
        }
    }

    /**
     * Answers a ping request whose target has not acknowledged in time; the sender itself is alive.
     *
     * @param sequence of the ping request
     */
    record Nack(long sequence, Member sender, List<GossipUpdate> updates) implements MembershipMessage {
        @Override
        public Nack withUpdates(List<GossipUpdate> others) {
            return new Nack(sequence, sender, others);
        }
    }
}
