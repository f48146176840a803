import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The connections to two of six app servers come up late, and clients leave meanwhile. No attempt may begin more than
 * 0.1 s (and the 50 ms of every limit) after its client has closed its connection.
 */
final class LateConnection {
    private static final int SERVERS = 6;
    private static final int LATE_SERVERS = 2;
    private static final int CLIENTS = 30;
    private static final long LEAVE_AFTER_MS = 300;
    /** When the late app servers begin to take connections; the system tries again 1 s after the first time. */
    private static final long TAKEN_AFTER_MS = 700;

    private static final double LIMIT_MS = 150;

    public static void main(String[] args) {
        Rig2.main(args, LateConnection::run);
    }

    private static int run(Rig2 rig) throws Exception {
        Map<String, Double> closedAtMs = new ConcurrentHashMap<>();
        List<String> late = new CopyOnWriteArrayList<>();
        AtomicInteger begun = new AtomicInteger();
        Rig2.Work work = (self, request, connection) -> {
            String txn = request.header("X-Txn");
            begun.incrementAndGet();
            Double closed = closedAtMs.get(txn);
            if (closed != null && request.firstByteMs - closed > LIMIT_MS) {
                late.add(txn);
                rig.log(
                        "check",
                        String.format(
                                Locale.ROOT,
                                "%s began at %s %.0f ms after its client had closed: LOST",
                                txn,
                                self.id,
                                request.firstByteMs - closed));
            }
            Rig2.sleep(600);
            return "made for " + txn;
        };
        Rig2.Discovery discovery = new Rig2.Discovery(rig);
        List<Rig2.AppServer> lateServers = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            boolean comesUpLate = Rig2.TROUBLE && i < LATE_SERVERS;
            Rig2.AppServer server = comesUpLate
                    ? Rig2.AppServer.late(rig, "s-" + i, "ebene", work)
                    : new Rig2.AppServer(rig, "s-" + i, "ebene", work);
            if (comesUpLate) {
                lateServers.add(server);
            }
            discovery.tell(server, "Ready", 0);
        }
        String config = Rig2.config(discovery, 1, Rig2.siteClasses(), "", Rig2.WARM_KEYS, 1024, 192)
                .replace("\"cancelling\":true", "\"cancelling\":false")
                .replace("\"dialTimeoutUs\":200000", "\"dialTimeoutUs\":2000000");
        Rig2.Node node = rig.startNode(config);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Thread client = new Thread(() -> {
                String txn = String.format("a%015x", number);
                try (Socket socket = new Socket(Rig2.loopback(), node.port)) {
                    socket.getOutputStream()
                            .write(Rig2.bytes(Rig2.head("POST", "k" + number, txn, "book-seat", 3_000, 0)));
                    rig.log("client", txn + " written whole");
                    Rig2.sleep(LEAVE_AFTER_MS);
                    closedAtMs.put(txn, Rig2.ms());
                } catch (Exception e) {
                    rig.log("client", txn + " ended by " + e);
                }
                rig.log("client", txn + " closed its connection");
            });
            client.start();
            clients.add(client);
        }
        Rig2.sleep(TAKEN_AFTER_MS);
        lateServers.forEach(Rig2.AppServer::takeConnections);
        for (Thread client : clients) {
            client.join(10_000);
        }
        Rig2.sleep(3_500);
        rig.log("result", closedAtMs.size() + " clients left; requests begun: " + begun + "; begun too late: " + late.size());
        if (closedAtMs.size() < CLIENTS || begun.get() == 0) {
            return Rig2.COULD_NOT_RUN;
        }
        return late.isEmpty() ? Rig2.HELD : Rig2.BROKEN;
    }
}
