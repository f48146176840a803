package loadbalancer.harness.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/** Clients of {@link SlowTransfer}s, each with one request at a time on a connection of its own. */
final class SlowTransferClients {
    private static final int PAUSE_MS = 200;
    /** Longer than any response that ends takes. */
    private static final int READ_TIMEOUT_MS = 12_000;

    private final SoakPlatform platform;
    private final RequestLedger ledger;
    private volatile boolean stopped;

    SlowTransferClients(SoakPlatform platform, RequestLedger ledger) {
        this.platform = platform;
        this.ledger = ledger;
    }

    void start(int clients, SplittableRandom random) {
        for (int i = 0; i < clients; i++) {
            int number = i;
            SplittableRandom own = random.split();
            SoakThreads.start("transfer client " + i, () -> run(number, own));
        }
    }

    /** Begins no further transfer. */
    void stop() {
        stopped = true;
    }

    private void run(int number, SplittableRandom random) throws IOException, InterruptedException {
        for (int request = 0; !stopped; request++) {
            Thread.sleep(random.nextInt(2 * PAUSE_MS));
            exchange(SlowTransfer.draw(random), "transfer" + number + "-" + request);
        }
    }

    private void exchange(SlowTransfer transfer, String name) throws IOException {
        ledger.connect(name);
        String sending = name + ".0";
        String id = String.format("%08x%08x", name.hashCode(), 0);
        try (Socket socket = new Socket()) {
            if (transfer.sendBufferBytes() > 0) {
                socket.setSendBufferSize(transfer.sendBufferBytes());
            }
            socket.setSoTimeout(READ_TIMEOUT_MS);
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), platform.port()));
            long sentNanos = System.nanoTime();
            String end;
            boolean whole = false;
            try {
                socket.getOutputStream()
                        .write(Wire.head(transfer.kind(), transfer.path(), sending, id, transfer.bodyBytes()));
                socket.getOutputStream().write(new byte[transfer.bodyBytes()]);
                sentNanos = System.nanoTime();
                InputStream in = new BufferedInputStream(socket.getInputStream());
                Wire.Message response = Wire.read(in);
                end = response == null ? "end of the stream" : response.startLine();
                whole = response != null
                        && response.status() == 200
                        && response.body().length == transfer.responseBytes();
            } catch (IOException e) {
                end = e.toString();
            }
            judge(transfer, sending, sentNanos, whole, end);
        }
    }

    private void judge(SlowTransfer transfer, String sending, long sentNanos, boolean whole, String end) {
        if (platform.isExcusedByKill(sentNanos)) {
            return;
        }
        long deadlineNanos = sentNanos + TimeUnit.MILLISECONDS.toNanos(transfer.remainingMs());
        if (whole && transfer.isLarge()) {
            return;
        }
        long lateNanos = System.nanoTime() - deadlineNanos;
        if (lateNanos > RequestLedger.MAX_LATENESS_NANOS) {
            ledger.onLateEnd(sending, lateNanos, end + ", " + transfer);
        }
        // A sound server responds once it has the last byte; the node may fail a response that comes before.
        boolean mustComeWhole = transfer.isLarge() && !transfer.early();
        if (mustComeWhole && ledger.hasBegunBefore(sending, deadlineNanos)) {
            ledger.onCutOff(sending, sentNanos, end + ", " + transfer);
        }
    }
}
