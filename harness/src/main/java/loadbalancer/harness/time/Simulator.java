package loadbalancer.harness.time;

import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * A timeline of virtual time: a queue of tasks ordered by time, and by the order of scheduling at equal times.
 * Single-threaded; the same seed gives the same run, byte for byte.
 */
public final class Simulator implements Timeline {
    /** Maximum number of scheduled tasks. A simulation that schedules more does not come to an end. */
    public static final int MAX_SCHEDULED = 10_000_000;

    private final long seed;
    private final PriorityQueue<ScheduledTask> queue = new PriorityQueue<>();
    private long nowUs;
    private long nextSequence;
    private long executedTasks;

    /** Thrown when a task is scheduled while the queue is full. */
    public static final class QueueFullException extends RuntimeException {
        private static final long serialVersionUID = 1;

        QueueFullException(String message) {
            super(message);
        }
    }

    private static final class ScheduledTask implements Timer, Comparable<ScheduledTask> {
        private final long atUs;
        private final long sequence;
        private Runnable task;

        ScheduledTask(long atUs, long sequence, Runnable task) {
            this.atUs = atUs;
            this.sequence = sequence;
            this.task = task;
        }

        @Override
        public void cancel() {
            task = null;
        }

        @Override
        public int compareTo(ScheduledTask other) {
            int byTime = Long.compare(atUs, other.atUs);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
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
    public Timer at(long atUs, Runnable task) {
        if (queue.size() >= MAX_SCHEDULED) {
            throw new QueueFullException("queue of tasks is full: " + queue.size() + " are scheduled at " + nowUs
                    + " us, the next at " + queue.peek().atUs + " us");
        }
        ScheduledTask scheduled = new ScheduledTask(Math.max(nowUs, atUs), nextSequence++, task);
        queue.add(scheduled);
        return scheduled;
    }

    @Override
    public SplittableRandom stream(String actor) {
        return RandomStreams.stream(seed, actor);
    }

    /** Runs all tasks due up to this time, inclusive, and the tasks that these schedule up to it. */
    public void runUntil(long untilUs) {
        while (!queue.isEmpty() && queue.peek().atUs <= untilUs) {
            ScheduledTask next = queue.poll();
            if (next.task != null) {
                nowUs = next.atUs;
                executedTasks++;
                next.task.run();
            }
        }
        nowUs = Math.max(nowUs, untilUs);
    }

    /** Number of tasks run so far. */
    public long executedTasks() {
        return executedTasks;
    }
}
