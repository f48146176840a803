package loadbalancer.membership.core;

import java.util.List;

/**
 * How a member takes part. Lengths of time are microseconds.
 *
 * @param periodUs one member is asked in each period
 * @param answerUs an answer that takes longer is asked for by others
 * @param askers how many others are asked to ask
 * @param suspicionPeriods least time of a suspicion, in periods times log10 of the members (1 at least)
 * @param suspicionMost longest time of one, in least ones: while nobody else has confirmed it
 * @param confirmations by so many others, after which only the least time is left
 * @param healthMost how far a member that doubts itself stretches its times: by up to 1 + this; 0 for never
 * @param spread how often each rumor is passed on, times log2 of the members
 * @param syncUs how often all that is known is exchanged with another member
 * @param forgetUs for how long what is dead or left is remembered
 * @param mostMembers how many names are held; what is new beyond is turned away, and said
 * @param roomBytes of rumors in a datagram
 * @param seeds addresses that are tried at the start, and for ever while nobody there is known alive
 */
public record MembershipSettings(
        String name,
        String address,
        String zone,
        String role,
        long periodUs,
        long answerUs,
        int askers,
        int suspicionPeriods,
        int suspicionMost,
        int confirmations,
        int healthMost,
        int spread,
        long syncUs,
        long forgetUs,
        int mostMembers,
        int roomBytes,
        List<String> seeds) {
    /** What is left of a datagram of 1,400 bytes beside the longest of everything else in it. */
    public static final int MOST_ROOM = 880;

    /**
     * The defaults; {@code docs/membership.md} tells how each follows from the period and the number of
     * members.
     */
    public static MembershipSettings of(String name, String address, String zone, String role, List<String> seeds) {
        return new MembershipSettings(
                name,
                address,
                zone,
                role,
                1_000_000,
                400_000,
                3,
                4,
                6,
                3,
                8,
                4,
                30_000_000,
                3_600_000_000L,
                10_000,
                MOST_ROOM,
                List.copyOf(seeds));
    }

    /** Throws IllegalArgumentException, naming the field, its value and what is allowed. */
    public void validate() {
        text("name", name);
        text("address", address);
        text("zone", zone);
        text("role", role);
        require(periodUs >= 1_000, "periodUs", periodUs, "at least 1000");
        require(answerUs > 0 && answerUs < periodUs, "answerUs", answerUs, "above 0 and under periodUs");
        require(askers >= 0 && askers <= 100, "askers", askers, "0 to 100");
        require(suspicionPeriods >= 1, "suspicionPeriods", suspicionPeriods, "at least 1");
        require(suspicionMost >= 1, "suspicionMost", suspicionMost, "at least 1");
        require(confirmations >= 0, "confirmations", confirmations, "at least 0");
        require(healthMost >= 0 && healthMost <= 100, "healthMost", healthMost, "0 to 100");
        require(spread >= 1 && spread <= 100, "spread", spread, "1 to 100");
        require(syncUs >= periodUs, "syncUs", syncUs, "at least periodUs");
        require(forgetUs >= syncUs, "forgetUs", forgetUs, "at least syncUs");
        require(mostMembers >= 2, "mostMembers", mostMembers, "at least 2");
        require(roomBytes >= 400 && roomBytes <= MOST_ROOM, "roomBytes", roomBytes, "400 to " + MOST_ROOM);
    }

    private static void text(String field, String value) {
        if (!Member.isName(value)) {
            throw new IllegalArgumentException(field + " = " + value + ": must be " + Member.NAMES);
        }
    }

    private static void require(boolean holds, String field, long value, String allowed) {
        if (!holds) {
            throw new IllegalArgumentException(field + " = " + value + ": must be " + allowed);
        }
    }
}
