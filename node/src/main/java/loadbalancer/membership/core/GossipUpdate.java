package loadbalancer.membership.core;

/**
 * What is disseminated of a member.
 *
 * @param reporter name of the member that says so: a suspicion counts by its independent reporters
 */
public record GossipUpdate(Member member, String reporter) {
    /** What an update takes in a datagram beside its texts: numbers, lengths and the state. */
    private static final int FIXED_BYTES = 48;

    /** At least as many bytes as a codec needs for this. */
    int maxEncodedBytes() {
        return FIXED_BYTES
                + member.name().length()
                + member.address().length()
                + member.zone().length()
                + member.role().length()
                + reporter.length();
    }
}
