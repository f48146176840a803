package loadbalancer.harness.time;

import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Virtual time: a queue of events ordered by time and, at the same time, by when they were asked for. One
 * thread; the same seed gives the same run to the byte.
 */
public final class Simulator implements Timeline {
    /** Most events that may be due at once; a world that holds more will not settle. */
    public static final int MAX_SCHEDULED = 10_000_000;

    private final long seed;
    private final PriorityQueue<Due> due = new PriorityQueue<>();
    private long nowUs;
    private long asked;
    private long played;

    /** A world that has more due than can ever settle. */
    public static final class NeverSettledException extends RuntimeException {
        private static final long serialVersionUID = 1;

        NeverSettledException(String message) {
            super(message);
        }
    }

    private static final class Due implements Timer, Comparable<Due> {
        private final long atUs;
        private final long number;
        private Runnable what;

        Due(long atUs, long number, Runnable what) {
            this.atUs = atUs;
            this.number = number;
            this.what = what;
        }

        @Override
        public void cancel() {
            what = null;
        }

        @Override
        public int compareTo(Due other) {
            int byTime = Long.compare(atUs, other.atUs);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    public Simulator(long seed) {
        this.seed = seed;
    }

    @Override
    public long nowUs() {
        return nowUs;
    }

    @Override
    public Timer at(long atUs, Runnable what) {
        if (due.size() >= MAX_SCHEDULED) {
            throw new NeverSettledException("never settled: " + due.size() + " events are due at " + nowUs
                    + " us, the next at " + due.peek().atUs + " us");
        }
        Due added = new Due(Math.max(nowUs, atUs), asked++, what);
        due.add(added);
        return added;
    }

    @Override
    public SplittableRandom stream(String actor) {
        return RandomStreams.stream(seed, actor);
    }

    /** Plays all that is due up to this time, this time included, and what that brings up. */
    public void playUntil(long untilUs) {
        while (!due.isEmpty() && due.peek().atUs <= untilUs) {
            Due next = due.poll();
            if (next.what != null) {
                nowUs = next.atUs;
                played++;
                next.what.run();
            }
        }
        nowUs = Math.max(nowUs, untilUs);
    }

    /** How many events it has played. */
    public long played() {
        return played;
    }
}
