package loadbalancer.membership.core;

/**
 * Which life of a member, and how often it has contradicted in it what others said. Grows over restarts even
 * where the disk is lost, as the start's time comes first.
 *
 * @param birth when the life began, in microseconds of Unix time; raised where others know of a later one
 * @param count refutations in this life
 */
public record Incarnation(long birth, long count) implements Comparable<Incarnation> {

    @Override
    public int compareTo(Incarnation other) {
        int byBirth = Long.compare(birth, other.birth);
        return byBirth != 0 ? byBirth : Long.compare(count, other.count);
    }

    /** The next one in the same life. */
    Incarnation refuted() {
        return new Incarnation(birth, count + 1);
    }
}
