import java.io.BufferedInputStream;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * 330 clients and eight ordinary ones, fewer than a third of the node's descriptors, send a request and behind it, without waiting for the
 * answer, one with a body of 65 kB (less than 64 KiB). Ordinary clients beside them send one request at a time. Each of their requests has
 * to get its final answer by its time and half a second (and the 50 ms of every limit).
 */
final class PipelineBodies {
    private static final int SERVERS = 6;
    /** What a request takes of an app server's core. */
    private static final int WORK_MS = 140;

    private static final int SOCKETS = 1_024;
    private static final int CLIENTS = 330;
    private static final int ORDINARY_CLIENTS = 8;
    private static final int BODY = 65_000;
    private static final int REMAINING_MS = 3_000;
    private static final int LIMIT_MS = REMAINING_MS + 500 + 50;
    private static final int PAIR_TIMEOUT_MS = 9_000;
    private static final int LOAD_MS = 12_000;

    public static void main(String[] args) {
        Rig2.main(args, PipelineBodies::run);
    }

    private static int run(Rig2 rig) throws Exception {
        Rig2.Discovery discovery = new Rig2.Discovery(rig);
        for (int i = 0; i < SERVERS; i++) {
            Object core = new Object();
            Rig2.AppServer server = new Rig2.AppServer(rig, "s-" + i, "ebene", 0, (self, request, connection) -> {
                synchronized (core) {
                    Rig2.sleep(WORK_MS);
                }
                return "made for " + request.header("X-Txn");
            });
            discovery.tell(server, "Ready", 0);
        }
        Rig2.Node node = rig.startNode(
                Rig2.config(discovery, 1, Rig2.siteClasses(), "", Rig2.WARM_KEYS, SOCKETS, 192));
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        AtomicBoolean ended = new AtomicBoolean();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < ORDINARY_CLIENTS; i++) {
            int number = i;
            clients.add(new Thread(() -> {
                for (int request = 0; !ended.get(); request++) {
                    askOne(rig, node, String.format("a%07x%08x", number, request), answered, lost);
                    Rig2.sleep(300);
                }
            }));
        }
        clients.forEach(Thread::start);
        Rig2.sleep(2_000);
        int before = answered.get();
        AtomicInteger pairs = new AtomicInteger();
        AtomicInteger cut = new AtomicInteger();
        AtomicInteger lostOfPairs = new AtomicInteger();
        rig.log("others", CLIENTS + " clients send two requests each");
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Thread client = new Thread(() -> askTwo(rig, node, number, pairs, cut, lostOfPairs));
            client.start();
            clients.add(client);
        }
        Rig2.sleep(LOAD_MS);
        ended.set(true);
        for (Thread client : clients) {
            client.join(6_000);
        }
        rig.log("result", "ordinary clients: " + answered + " requests answered, " + lost + " lost; others: " + pairs
                + " of " + CLIENTS
                + " got both answers, " + cut + " got less, " + lostOfPairs + " lost; the node is alive: " + node.isAlive());
        if (before == 0) {
            return Rig2.COULD_NOT_RUN;
        }
        return lost.get() + lostOfPairs.get() == 0 && node.isAlive() ? Rig2.HELD : Rig2.BROKEN;
    }

    private static void askOne(Rig2 rig, Rig2.Node node, String txn, AtomicInteger answered, AtomicInteger lost) {
        double sentAtMs = Double.NaN;
        String answer;
        try (Socket socket = new Socket(Rig2.loopback(), node.port)) {
            socket.setSoTimeout(LIMIT_MS);
            socket.getOutputStream().write(Rig2.bytes(Rig2.head("POST", "k" + txn, txn, "book-seat", REMAINING_MS, 0)));
            sentAtMs = Rig2.ms();
            Rig2.Message message = Rig2.read(new BufferedInputStream(socket.getInputStream()));
            answer = message == null ? "a close without an answer" : message.firstLine;
        } catch (SocketTimeoutException e) {
            answer = "nothing";
        } catch (Exception e) {
            answer = e.toString();
        }
        double afterMs = Rig2.ms() - sentAtMs;
        boolean inTime = answer.startsWith("HTTP/1.1 ") && afterMs <= LIMIT_MS;
        (inTime ? answered : lost).incrementAndGet();
        rig.log(
                inTime ? "ordinary" : "check",
                String.format(
                        Locale.ROOT, "%s got %s after %.0f ms%s", txn, answer, afterMs, inTime ? "" : ": LOST"));
    }

    private static void askTwo(Rig2 rig, Rig2.Node node, int number, AtomicInteger pairs, AtomicInteger cut, AtomicInteger lost) {
        String first = String.format("b%014xa", number);
        String second = String.format("b%014xb", number);
        String got = "";
        boolean closed = false;
        try (Socket socket = new Socket(Rig2.loopback(), node.port)) {
            socket.setSoTimeout(PAIR_TIMEOUT_MS);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            socket.getOutputStream().write(Rig2.bytes(Rig2.head("POST", "k" + number, first, "book-seat", REMAINING_MS, 0)));
            if (!Rig2.TROUBLE) {
                got += Rig2.read(in).firstLine + ", ";
            }
            socket.getOutputStream()
                    .write(Rig2.bytes(Rig2.head("POST", "k" + number, second, "post-trip", REMAINING_MS, BODY)));
            socket.getOutputStream().write(new byte[BODY]);
            if (Rig2.TROUBLE) {
                got += Rig2.read(in).firstLine + ", ";
            }
            got += Rig2.read(in).firstLine;
            pairs.incrementAndGet();
        } catch (SocketTimeoutException e) {
            cut.incrementAndGet();
            got += "nothing more in " + PAIR_TIMEOUT_MS + " ms";
        } catch (Exception e) {
            // The node has ended the connection, by a close or a reset, with a request on it unanswered.
            cut.incrementAndGet();
            closed = true;
            got += "an end of the connection without an answer: LOST";
        }
        if (closed) {
            lost.incrementAndGet();
        }
        rig.log(closed ? "check" : "pair", first + " got " + got);
    }
}
