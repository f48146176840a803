package loadbalancer.membership.core;

import java.util.List;

/** Sends pings, each with a sequence number that is unique in this process, and ping requests. */
final class PingSender {
    private final LocalMember local;
    private final Gossiper gossiper;
    private long lastSequence;

    PingSender(LocalMember local, Gossiper gossiper) {
        this.local = local;
        this.gossiper = gossiper;
    }

    /** Pings a member and returns the sequence number of the expected ack. */
    long ping(Member target) {
        return ping(target.name(), target.address());
    }

    long ping(String targetName, String targetAddress) {
        long sequence = ++lastSequence;
        gossiper.send(targetAddress, new MembershipMessage.Ping(sequence, targetName, local.self(), List.of()));
        return sequence;
    }

    /** Asks another member to ping the target. The ack or nack will carry the given sequence number. */
    void requestPing(Member via, Member target, long sequence) {
        gossiper.send(
                via.address(),
                new MembershipMessage.PingRequest(sequence, target.name(), target.address(), local.self(), List.of()));
    }
}
