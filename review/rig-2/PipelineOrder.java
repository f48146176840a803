import java.io.BufferedInputStream;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send several requests on a connection before the first is answered. Each answer of 200 has to hold what an app
 * server made for the request in its place.
 */
final class PipelineOrder {
    private static final int SERVERS = 6;
    private static final int CLIENTS = 12;
    private static final int ROUNDS = 60;
    /** Requests that a client sends at once. */
    private static final int AT_ONCE = 8;

    private static final int REMAINING_MS = 3_000;

    public static void main(String[] args) {
        Rig2.main(args, PipelineOrder::run);
    }

    private static int run(Rig2 rig) throws Exception {
        Rig2.Discovery discovery = new Rig2.Discovery(rig);
        for (int i = 0; i < SERVERS; i++) {
            SplittableRandom random = new SplittableRandom(i);
            Rig2.AppServer server = new Rig2.AppServer(rig, "s-" + i, "ebene", (self, request, connection) -> {
                long work;
                synchronized (random) {
                    work = random.nextLong(4, 30);
                }
                Rig2.sleep(work);
                return "made for " + request.header("X-Txn");
            });
            discovery.tell(server, "Ready", 0);
        }
        Rig2.Node node = rig.startNode(
                Rig2.config(discovery, 1, Rig2.siteClasses(), "", Rig2.WARM_KEYS, 1024, 192));
        AtomicInteger served = new AtomicInteger();
        AtomicInteger other = new AtomicInteger();
        AtomicInteger foreign = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Thread client = new Thread(() -> {
                try {
                    ask(rig, node, number, served, other, foreign);
                } catch (Exception e) {
                    rig.log("client-" + number, "ended by " + e);
                }
            });
            client.start();
            clients.add(client);
        }
        for (Thread client : clients) {
            client.join(60_000);
        }
        rig.log("result", served + " answers of 200, of these " + foreign + " foreign; " + other + " other answers");
        if (served.get() < CLIENTS * ROUNDS) {
            return Rig2.COULD_NOT_RUN;
        }
        return foreign.get() == 0 ? Rig2.HELD : Rig2.BROKEN;
    }

    /**
     * Sends requests in rounds, each in one write with a pause after it: the next one at once, or without the disruption
     * once the answer has come.
     */
    private static void ask(
            Rig2 rig, Rig2.Node node, int number, AtomicInteger served, AtomicInteger other, AtomicInteger foreign)
            throws Exception {
        SplittableRandom random = new SplittableRandom(100 + number);
        try (Socket socket = new Socket(Rig2.loopback(), node.port)) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(10_000);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (int round = 0; round < ROUNDS; round++) {
                List<String> asked = new ArrayList<>();
                for (int i = 0; i < AT_ONCE; i++) {
                    String txn = String.format("%04x%08x%04x", number, round, i);
                    boolean search = random.nextInt(100) < 37;
                    socket.getOutputStream()
                            .write(Rig2.bytes(Rig2.head(
                                    search ? "GET" : "POST",
                                    "k" + random.nextInt(900),
                                    txn,
                                    search ? "search" : "book-seat",
                                    REMAINING_MS,
                                    0)));
                    asked.add(txn);
                    if (!Rig2.TROUBLE) {
                        check(rig, number, in, asked.remove(0), served, other, foreign);
                    } else {
                        Rig2.sleep(random.nextLong(0, 12));
                    }
                }
                while (!asked.isEmpty()) {
                    check(rig, number, in, asked.remove(0), served, other, foreign);
                }
            }
        }
    }

    private static void check(
            Rig2 rig,
            int number,
            InputStream in,
            String txn,
            AtomicInteger served,
            AtomicInteger other,
            AtomicInteger foreign)
            throws Exception {
        Rig2.Message answer = Rig2.read(in);
        if (answer == null) {
            throw new java.io.EOFException("closed before the answer to " + txn);
        }
        if (answer.status() != 200) {
            other.incrementAndGet();
            rig.log("client-" + number, txn + " got " + answer.firstLine);
            return;
        }
        served.incrementAndGet();
        boolean own = answer.text().equals("made for " + txn);
        rig.log(own ? "client-" + number : "check", txn + " got 200, " + answer.text() + (own ? "" : ": FOREIGN"));
        if (!own) {
            foreign.incrementAndGet();
        }
    }
}
