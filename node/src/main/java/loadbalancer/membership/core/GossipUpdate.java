package loadbalancer.membership.core;

/**
 * Record of a member as it is disseminated.
 *
 * @param reporter name of the member that reports the record; a suspicion is confirmed by each distinct reporter
 */
public record GossipUpdate(Member member, String reporter) {
    /** Encoded size of an update without the characters of its strings: numbers, string lengths and the state. */
    private static final int FIXED_BYTES = 48;

    /** Upper bound of the encoded size in bytes. */
    int maxEncodedBytes() {
        return FIXED_BYTES
                + member.name().length()
                + member.address().length()
                + member.zone().length()
                + member.role().length()
                + reporter.length();
    }
}
