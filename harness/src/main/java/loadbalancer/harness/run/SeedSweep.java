package loadbalancer.harness.run;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import java.util.function.LongFunction;

/**
 * Runs the same task with many seeds, several at a time. The result for a seed does not depend on how many run at a
 * time.
 */
public final class SeedSweep {
    private SeedSweep() {}

    /**
     * Runs the task for each seed, and blocks until all have ended.
     *
     * @param first the first seed; the others follow it
     * @param count number of seeds
     * @param cores number of runs at a time
     * @param done called with each result in the order of the seeds, on the calling thread
     * @return the results in the order of the seeds
     * @throws IllegalStateException if a run throws an exception, which is the cause
     */
    public static <T> List<T> run(long first, int count, int cores, LongFunction<T> task, Consumer<T> done)
            throws InterruptedException {
        ExecutorService workers = Executors.newFixedThreadPool(cores);
        try {
            List<Future<T>> all = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                long seed = first + i;
                all.add(workers.submit(() -> task.apply(seed)));
            }
            List<T> results = new ArrayList<>();
            for (Future<T> future : all) {
                results.add(future.get());
                done.accept(results.get(results.size() - 1));
            }
            return results;
        } catch (ExecutionException e) {
            throw new IllegalStateException("a run failed", e.getCause());
        } finally {
            workers.shutdownNow();
        }
    }
}
