package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** Exchanges of many clients at once. */
final class ConcurrentExchanges {
    private ConcurrentExchanges() {}

    /** Runs all exchanges at once and asserts that none returns a failure. */
    static void assertNoneFails(List<Callable<Optional<String>>> exchanges) throws Exception {
        ExecutorService clients = Executors.newCachedThreadPool();
        try {
            List<String> failures = new ArrayList<>();
            for (Future<Optional<String>> exchange : clients.invokeAll(exchanges)) {
                exchange.get().ifPresent(failures::add);
            }
            assertEquals(List.of(), failures);
        } finally {
            clients.shutdownNow();
        }
    }
}
