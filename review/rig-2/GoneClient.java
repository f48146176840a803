import java.io.BufferedInputStream;
import java.net.Socket;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send a request with a body of 100 kB to a node whose app servers are busy, and give up early: they close their
 * connections. No attempt for such a request may begin more than 0.1 s (and the 50 ms of every limit) after the close.
 */
final class GoneClient {
    private static final int SERVERS = 4;
    private static final long WORK_MS = 150;
    /** Requests a second: 1.3 times what the app servers can do, as on the site's overload days. */
    private static final double RATE = 1.3 * SERVERS * 1000 / WORK_MS;

    private static final long LOAD_MS = 12_000;
    private static final int LEAVING = 16;
    private static final int BODY = 100_000;
    private static final long LEAVE_AFTER_MS = 400;
    private static final double LIMIT_MS = 150;

    public static void main(String[] args) {
        Rig2.main(args, GoneClient::run);
    }

    private static int run(Rig2 rig) throws Exception {
        Map<String, Double> closedAtMs = new ConcurrentHashMap<>();
        List<String> late = new CopyOnWriteArrayList<>();
        AtomicInteger answered = new AtomicInteger();
        Rig2.Discovery discovery = new Rig2.Discovery(rig);
        for (int i = 0; i < SERVERS; i++) {
            Object core = new Object();
            Rig2.AppServer server = new Rig2.AppServer(rig, "s-" + i, "ebene", (self, request, connection) -> {
                String txn = request.header("X-Txn");
                Double closed = closedAtMs.get(txn);
                if (closed != null && request.firstByteMs - closed > LIMIT_MS) {
                    String what = String.format(
                            Locale.ROOT,
                            "%s began at %s %.0f ms after its client had closed, whole with %d bytes",
                            txn,
                            self.id,
                            request.firstByteMs - closed,
                            request.body.length);
                    late.add(what);
                    rig.log("check", what);
                }
                synchronized (core) {
                    Rig2.sleep(WORK_MS);
                }
                return "done " + txn;
            });
            discovery.tell(server, "Ready", 0);
        }
        Rig2.Node node = rig.startNode(Rig2.config(discovery, 1, Rig2.siteClasses(), "", "", 1024, 192));

        String[] lanes = {"settle", "settle", "book-seat", "settle"};
        int total = (int) (RATE * LOAD_MS / 1000);
        double begin = Rig2.ms();
        for (int i = 0; i < total; i++) {
            double due = begin + i * 1000.0 / RATE;
            Rig2.sleep(Math.max(0, (long) (due - Rig2.ms())));
            int number = i;
            Rig2.daemon("client", () -> {
                String txn = String.format("a%015x", number);
                try (Socket socket = new Socket(Rig2.loopback(), node.port)) {
                    socket.setSoTimeout(8_000);
                    socket.getOutputStream()
                            .write(Rig2.bytes(
                                    Rig2.head("POST", "k" + number, txn, lanes[number % lanes.length], 3_000, 0)));
                    Rig2.Message answer = Rig2.read(new BufferedInputStream(socket.getInputStream()));
                    answered.incrementAndGet();
                    rig.log("client", txn + " got " + (answer == null ? "a close" : answer.firstLine));
                } catch (Exception e) {
                    rig.log("client", txn + " got " + e);
                }
            });
            // The clients that leave come one after the other from the third second on.
            if (i % (total / LEAVING) == 0 && due - begin > 3_000) {
                Rig2.daemon("leaving", () -> leave(rig, node, number, closedAtMs));
            }
        }
        Rig2.sleep(4_000);
        rig.log("result", answered + " of " + total + " ordinary clients got an answer; " + closedAtMs.size()
                + " clients left; attempts begun too late: " + late.size());
        if (answered.get() < total / 2 || Rig2.TROUBLE && closedAtMs.isEmpty()) {
            return Rig2.COULD_NOT_RUN;
        }
        return late.isEmpty() ? Rig2.HELD : Rig2.BROKEN;
    }

    /** Sends a whole request; closes the connection after {@link #LEAVE_AFTER_MS} unless it is answered before. */
    private static void leave(Rig2 rig, Rig2.Node node, int number, Map<String, Double> closedAtMs) {
        String txn = String.format("b%015x", number);
        try (Socket socket = new Socket(Rig2.loopback(), node.port)) {
            socket.setSoTimeout(Rig2.TROUBLE ? (int) LEAVE_AFTER_MS : 8_000);
            socket.getOutputStream()
                    .write(Rig2.bytes(Rig2.head("POST", "k" + number, txn, "settle", 3_000, BODY)));
            socket.getOutputStream().write(new byte[BODY]);
            rig.log("leaving", txn + " written whole");
            try {
                Rig2.Message answer = Rig2.read(new BufferedInputStream(socket.getInputStream()));
                rig.log("leaving", txn + " stayed and got " + (answer == null ? "a close" : answer.firstLine));
                return;
            } catch (java.net.SocketTimeoutException e) {
                // Gives up.
            }
            closedAtMs.put(txn, Rig2.ms());
            rig.log("leaving", txn + " closes its connection");
        } catch (Exception e) {
            rig.log("leaving", txn + " ended by " + e);
        }
    }
}
