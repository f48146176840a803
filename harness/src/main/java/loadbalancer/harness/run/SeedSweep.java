package loadbalancer.harness.run;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import java.util.function.LongFunction;

/** The same run with many seeds, several at a time; what comes of each does not depend on how many. */
public final class SeedSweep {
    private SeedSweep() {}

    /**
     * @param first the first seed; the others follow it
     * @param cores how many run at a time
     * @param done told of each, in the order of seeds, by the thread that called this
     * @return what came of each, in the order of seeds
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
