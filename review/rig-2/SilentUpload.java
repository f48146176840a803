import java.io.BufferedInputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of six app servers goes silent while clients send requests with bodies of 400 kB. Each request has to get its
 * final answer by its time and half a second (and the 50 ms of every limit), counted from its last byte.
 */
final class SilentUpload {
    private static final int SERVERS = 6;
    private static final int CLIENTS = 36;
    private static final int BODY = 400_000;
    /** 60 % of the class's deadline of 5 s, as for a first try on the site. */
    private static final int REMAINING_MS = 3_000;

    private static final int LIMIT_MS = REMAINING_MS + 500 + 50;
    private static final int SILENCE_MS = 14_000;

    public static void main(String[] args) {
        Rig2.main(args, SilentUpload::run);
    }

    private static int run(Rig2 rig) throws Exception {
        Rig2.Discovery discovery = new Rig2.Discovery(rig);
        List<Rig2.AppServer> servers = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            servers.add(new Rig2.AppServer(rig, "s-" + i, "ebene", (self, request, connection) -> {
                Rig2.sleep(100);
                return "done " + request.header("X-Txn");
            }));
            discovery.tell(servers.get(i), "Ready", 0);
        }
        Rig2.Node node = rig.startNode(
                Rig2.config(discovery, 1, Rig2.siteClasses(), "", Rig2.WARM_KEYS, 1024, 192));
        // Each app server has served, and the node keeps connections to it.
        for (int i = 0; i < 60; i++) {
            try (Socket socket = new Socket(Rig2.loopback(), node.port)) {
                socket.getOutputStream()
                        .write(Rig2.bytes(Rig2.head("GET", "w" + i, String.format("c%015x", i), "search", 1_200, 0)));
                Rig2.read(new BufferedInputStream(socket.getInputStream()));
            }
        }
        if (Rig2.TROUBLE) {
            servers.get(0).silent = true;
            rig.log("s-0", "goes silent");
        }
        AtomicInteger taken = new AtomicInteger();
        AtomicInteger inTime = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Thread client = new Thread(() -> upload(rig, node, number, taken, inTime, lost));
            client.start();
            clients.add(client);
            Rig2.sleep(30);
        }
        if (Rig2.TROUBLE) {
            Rig2.sleep(SILENCE_MS);
            servers.get(0).silent = false;
            rig.log("s-0", "is back");
        }
        for (Thread client : clients) {
            client.join(16_000);
        }
        rig.log("result", taken + " requests written whole; answered in time: " + inTime + "; lost: " + lost);
        if (taken.get() < CLIENTS / 2) {
            return Rig2.COULD_NOT_RUN;
        }
        return lost.get() == 0 ? Rig2.HELD : Rig2.BROKEN;
    }

    private static void upload(
            Rig2 rig, Rig2.Node node, int number, AtomicInteger taken, AtomicInteger inTime, AtomicInteger lost) {
        String txn = String.format("a%015x", number);
        double writtenAtMs = Double.NaN;
        String answer;
        try (Socket socket = new Socket(Rig2.loopback(), node.port)) {
            double beginMs = Rig2.ms();
            socket.getOutputStream()
                    .write(Rig2.bytes(Rig2.head("POST", "k" + number, txn, "settle", REMAINING_MS, BODY)));
            socket.getOutputStream().write(new byte[BODY]);
            writtenAtMs = Rig2.ms();
            if (writtenAtMs - beginMs > 500) {
                rig.log("client", txn + " could not write its body at once: not judged");
                return;
            }
            taken.incrementAndGet();
            rig.log("client", txn + " written whole");
            socket.setSoTimeout(13_000);
            Rig2.Message message = Rig2.read(new BufferedInputStream(socket.getInputStream()));
            answer = message == null ? "a close without an answer" : message.firstLine;
        } catch (SocketTimeoutException e) {
            answer = "nothing";
        } catch (Exception e) {
            answer = e.toString();
        }
        double afterMs = Rig2.ms() - writtenAtMs;
        boolean isAnswer = answer.startsWith("HTTP/1.1 ");
        boolean isInTime = isAnswer && afterMs <= LIMIT_MS;
        (isInTime ? inTime : lost).incrementAndGet();
        rig.log(
                isInTime ? "client" : "check",
                String.format(
                        Locale.ROOT,
                        "%s got %s after %.0f ms of %d%s",
                        txn,
                        answer,
                        afterMs,
                        REMAINING_MS,
                        isInTime ? "" : ": LOST"));
    }
}
