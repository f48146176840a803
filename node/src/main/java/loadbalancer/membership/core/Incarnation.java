package loadbalancer.membership.core;

/**
 * Version of a member's record: a higher incarnation supersedes a lower one. It increases across restarts without
 * stored state, because the start time is compared first.
 *
 * @param generation start time of the process in microseconds of Unix time, or a later value if other members hold a
 *     record of a later generation
 * @param refutations counter that the member raises above the claimed value whenever it refutes a claim that it is
 *     suspected, dead or left in this generation
 */
public record Incarnation(long generation, long refutations) implements Comparable<Incarnation> {

    @Override
    public int compareTo(Incarnation other) {
        int byGeneration = Long.compare(generation, other.generation);
        return byGeneration != 0 ? byGeneration : Long.compare(refutations, other.refutations);
    }

    /** Returns the incarnation that refutes a claim about this one. */
    Incarnation nextRefutation() {
        return new Incarnation(generation, refutations + 1);
    }

    /** Returns the first incarnation of the next generation. */
    Incarnation nextGeneration() {
        return new Incarnation(generation + 1, 0);
    }
}
