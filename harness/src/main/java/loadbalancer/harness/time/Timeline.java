package loadbalancer.harness.time;

import java.util.SplittableRandom;

/**
 * The clock, scheduler and source of random numbers of a run: virtual time in a simulated run, the system's time in a
 * run with processes. Scheduled tasks run one after the other, never nested inside another task.
 */
public interface Timeline {

    /** Microseconds since the run began. */
    long nowUs();

    /**
     * Schedules a task for this time, or as soon as possible if the time has passed. Tasks of equal times run in the
     * order of scheduling.
     */
    Timer at(long atUs, Runnable task);

    default Timer after(long delayUs, Runnable task) {
        return at(nowUs() + delayUs, task);
    }

    /** Returns the random numbers of one actor. They depend only on the seed and the actor's name. */
    SplittableRandom stream(String actor);

    /** A scheduled task. */
    interface Timer {
        /** Cancels the task; has no effect once it has run. */
        void cancel();
    }
}
