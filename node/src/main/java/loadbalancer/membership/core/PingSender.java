package loadbalancer.membership.core;

import java.util.List;

/** Sends pings and ping requests, each with a sequence number that no other ping of this process has. */
final class PingSender {
    private final LocalMember local;
    private final Gossiper gossiper;
    private long lastSequence;

    PingSender(LocalMember local, Gossiper gossiper) {
        this.local = local;
        this.gossiper = gossiper;
    }

    /** Pings a member; returns the sequence number that its ack will have. */
    long ping(Member target) {
        return ping(target.name(), target.address());
    }

    long ping(String targetName, String targetAddress) {
        long sequence = ++lastSequence;
        gossiper.send(targetAddress, new MembershipMessage.Ping(sequence, targetName, local.self(), List.of()));
        return sequence;
    }

    /** Asks another member to ping the target; the ack or nack will have this sequence number. */
    void requestPing(Member via, Member target, long sequence) {
        gossiper.send(
                via.address(),
                new MembershipMessage.PingRequest(sequence, target.name(), target.address(), local.self(), List.of()));
    }
}
