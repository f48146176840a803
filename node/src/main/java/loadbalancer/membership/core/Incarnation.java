package loadbalancer.membership.core;

/**
 * The version of what is known of a member. Later ones supersede earlier ones. It grows over restarts even where the
 * disk is lost, as the start's time comes first.
 *
 * @param generation when the process started, in microseconds of Unix time; raised where others know a later one
 * @param refutations how often the member has refuted a suspicion or its death in this generation
 */
public record Incarnation(long generation, long refutations) implements Comparable<Incarnation> {

    @Override
    public int compareTo(Incarnation other) {
        int byGeneration = Long.compare(generation, other.generation);
        return byGeneration != 0 ? byGeneration : Long.compare(refutations, other.refutations);
    }

    /** The one by which a claim about this one is refuted. */
    Incarnation nextRefutation() {
        return new Incarnation(generation, refutations + 1);
    }

    /** The first one of a later generation than this. */
    Incarnation nextGeneration() {
        return new Incarnation(generation + 1, 0);
    }
}
