package loadbalancer.harness.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Clients that send one request at a time, half of them on connections that they keep as long as these are open. */
final class OrdinaryClients {
    /** On average, so that 14 of them send 35 requests a second if the responses are quick. */
    private static final int PAUSE_MS = 400;

    private final SoakPlatform platform;
    private final RequestLedger ledger;
    private final int clients;
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean stopped;

    OrdinaryClients(SoakPlatform platform, RequestLedger ledger, int clients) {
        this.platform = platform;
        this.ledger = ledger;
        this.clients = clients;
    }

    void start(SplittableRandom random) {
        for (int i = 0; i < clients; i++) {
            int number = i;
            SplittableRandom own = random.split();
            threads.add(SoakThreads.start("ordinary client " + i, () -> run(number, own)));
        }
    }

    /** Waits until the requests that are open have ended. */
    void stop() throws InterruptedException {
        stopped = true;
        for (Thread thread : threads) {
            thread.join();
        }
    }

    private void run(int number, SplittableRandom random) throws InterruptedException {
        boolean keepsConnection = number % 2 == 0;
        SoakClient client = null;
        int connections = 0;
        for (int request = 0; !stopped; request++) {
            Thread.sleep(random.nextInt(2 * PAUSE_MS));
            RequestKind kind = platform.kind(RequestKind.of(random.nextInt(100)));
            String id = String.format("%08x%08x", number, request);
            try {
                if (client == null || !client.isOpen()) {
                    client = new SoakClient(platform, ledger, "ordinary" + number + "-" + connections++);
                }
                if (!client.exchange(kind, id)) {
                    client.close();
                    client = new SoakClient(platform, ledger, "ordinary" + number + "-" + connections++);
                    client.exchange(kind, id);
                }
                if (!keepsConnection || !client.isOpen()) {
                    client.close();
                    client = null;
                }
            } catch (IOException e) {
                ledger.violate("connection", "ordinary client " + number + ": " + e.getMessage());
                client = null;
            }
        }
    }
}
