package loadbalancer.membership.core;

import java.util.List;

/** What goes from member to member in one datagram; rumors ride on all of them. */
public sealed interface Message {

    List<GossipUpdate> rumors();

    /** The same with other rumors. */
    Message with(List<GossipUpdate> rumors);

    /**
     * Are you there?
     *
     * @param number to tell the answer by; the sender's own
     * @param to the name that is meant: whoever has taken its address is not
     * @param from who asks, with its present state
     */
    record Ping(long number, String to, Member from, List<GossipUpdate> rumors) implements Message {
        @Override
        public Message with(List<GossipUpdate> others) {
            return new Ping(number, to, from, others);
        }
    }

    /** Yes, to a ping of this number. */
    record Ack(long number, Member from, List<GossipUpdate> rumors) implements Message {
        @Override
        public Message with(List<GossipUpdate> others) {
            return new Ack(number, from, others);
        }
    }

    /** Ask this one for me, and tell me by this number. */
    record PingRequest(long number, String to, String address, Member from, List<GossipUpdate> rumors)
            implements Message {
        @Override
        public Message with(List<GossipUpdate> others) {
            return new PingRequest(number, to, address, from, others);
        }
    }

    /** Nothing but rumors, and that the sender is there. */
    record Gossip(Member from, List<GossipUpdate> rumors) implements Message {
        @Override
        public Message with(List<GossipUpdate> others) {
            return new Gossip(from, others);
        }
    }

    /** I had no answer from the one that you asked me to ask; I myself am there. */
    record Nack(long number, Member from, List<GossipUpdate> rumors) implements Message {
        @Override
        public Message with(List<GossipUpdate> others) {
            return new Nack(number, from, others);
        }
    }
}
