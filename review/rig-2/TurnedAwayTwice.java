import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of six app servers turns a part of its requests away, its queue being full. With the disruption, the same answer
 * comes a second time some milliseconds later. No request of a class that must never run twice may run twice.
 */
final class TurnedAwayTwice {
    private static final int SERVERS = 6;
    private static final int CLIENTS = 12;
    private static final int REQUESTS = 150;
    private static final int REMAINING_MS = 3_000;
    private static final int SECOND_ANSWER_AFTER_MS = 4;
    private static final String TURNED_AWAY =
            "HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n";

    public static void main(String[] args) {
        Rig2.main(args, TurnedAwayTwice::run);
    }

    private static int run(Rig2 rig) throws Exception {
        Map<String, List<String>> runs = new ConcurrentHashMap<>();
        AtomicInteger turnedAway = new AtomicInteger();
        Rig2.Discovery discovery = new Rig2.Discovery(rig);
        for (int i = 0; i < SERVERS; i++) {
            boolean full = i == 0;
            SplittableRandom random = new SplittableRandom(i);
            Rig2.AppServer server = new Rig2.AppServer(rig, "s-" + i, "ebene", 0, (self, request, connection) -> {
                String txn = request.header("X-Txn");
                int draw;
                synchronized (random) {
                    draw = random.nextInt(4);
                }
                if (full && draw == 0) {
                    turnedAway.incrementAndGet();
                    rig.log(self.id, "turns " + txn + " away");
                    connection.getOutputStream().write(Rig2.bytes(TURNED_AWAY));
                    if (Rig2.TROUBLE) {
                        Rig2.daemon("second answer", () -> answerAgain(rig, self, connection, txn));
                    }
                    return null;
                }
                List<String> ranAt = runs.computeIfAbsent(txn, id -> new CopyOnWriteArrayList<>());
                ranAt.add(self.id);
                if (ranAt.size() > 1) {
                    rig.log("check", txn + " runs at " + ranAt + ": TWICE");
                }
                Rig2.sleep(30);
                return "made for " + txn;
            });
            discovery.tell(server, "Ready", 0);
        }
        Rig2.Node node = rig.startNode(
                Rig2.config(discovery, 1, Rig2.siteClasses(), "", Rig2.WARM_KEYS, 1024, 192));
        AtomicInteger answered = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Thread client = new Thread(() -> {
                for (int request = 0; request < REQUESTS; request++) {
                    ask(rig, node, String.format("%04x%012x", number, request), answered);
                }
            });
            client.start();
            clients.add(client);
        }
        for (Thread client : clients) {
            client.join(60_000);
        }
        long twice = runs.values().stream().filter(servers -> servers.size() > 1).count();
        rig.log("result", answered + " of " + CLIENTS * REQUESTS + " requests got an answer; turned away: " + turnedAway
                + "; run twice: " + twice);
        if (answered.get() < CLIENTS * REQUESTS / 2 || turnedAway.get() == 0) {
            return Rig2.COULD_NOT_RUN;
        }
        return twice == 0 ? Rig2.HELD : Rig2.BROKEN;
    }

    private static void answerAgain(Rig2 rig, Rig2.AppServer server, Socket connection, String txn) {
        Rig2.sleep(SECOND_ANSWER_AFTER_MS);
        try {
            connection.getOutputStream().write(Rig2.bytes(TURNED_AWAY));
            rig.log(server.id, "answers " + txn + " a second time");
        } catch (IOException e) {
            // The node has closed the connection.
        }
    }

    private static void ask(Rig2 rig, Rig2.Node node, String txn, AtomicInteger answered) {
        try (Socket socket = new Socket(Rig2.loopback(), node.port)) {
            socket.setSoTimeout(REMAINING_MS + 1_000);
            socket.getOutputStream().write(Rig2.bytes(Rig2.head("POST", "k" + txn, txn, "book-seat", REMAINING_MS, 0)));
            Rig2.Message answer = Rig2.read(new BufferedInputStream(socket.getInputStream()));
            rig.log("client", txn + " got " + answer.firstLine + " " + answer.text());
            answered.incrementAndGet();
        } catch (Exception e) {
            rig.log("client", txn + " got " + e);
        }
    }
}
