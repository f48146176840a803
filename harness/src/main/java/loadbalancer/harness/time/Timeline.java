package loadbalancer.harness.time;

import java.util.SplittableRandom;

/**
 * The time that a world lives in, and its chance: virtual and seeded in simulation, the system's in a real
 * run. What is scheduled runs one after the other, never inside something else that runs.
 */
public interface Timeline {

    /** Microseconds since the run began. */
    long nowUs();

    /**
     * Runs it at this time, or as soon as may be where that has passed; in the order asked for at equal
     * times.
     */
    Timer at(long atUs, Runnable what);

    default Timer after(long us, Runnable what) {
        return at(nowUs() + us, what);
    }

    /**
     * The random numbers of one actor, the same for the same seed and name whatever else there is in the
     * world.
     */
    SplittableRandom stream(String actor);

    /** Something scheduled. */
    interface Timer {
        /** Calls it off; nothing if it has run. */
        void cancel();
    }
}
