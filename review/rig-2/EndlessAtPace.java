import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One answer in five never ends: it has no length, comes at 34 kB a second, and stops for good under 64 KiB. Each request
 * has to be answered, or to fail so that its client can tell, by its time and half a second (and the 50 ms of every
 * limit).
 */
final class EndlessAtPace {
    private static final int SERVERS = 6;
    private static final int CLIENTS = 40;
    private static final int SPOILT_EVERY = 5;
    /** Half of the class's deadline of 2 s, as for a first try on the site. */
    private static final int REMAINING_MS = 1_000;

    private static final int LIMIT_MS = REMAINING_MS + 500 + 50;
    private static final int STAYS_MS = 8_000;

    /** When an answer begins; a sound one comes whole then. */
    private static final int WORK_MS = 500;

    private static final int CHUNK_BYTES = 3_400;
    private static final int CHUNK_EVERY_MS = 100;
    private static final int MAX_BYTES = 60_000;

    public static void main(String[] args) {
        Rig2.main(args, EndlessAtPace::run);
    }

    private static int run(Rig2 rig) throws Exception {
        Rig2.Discovery discovery = new Rig2.Discovery(rig);
        for (int i = 0; i < SERVERS; i++) {
            Rig2.AppServer server = new Rig2.AppServer(rig, "s-" + i, "ebene", (self, request, connection) -> {
                Rig2.sleep(WORK_MS);
                String txn = request.header("X-Txn");
                if (!Rig2.TROUBLE || Integer.parseInt(txn.substring(1), 16) % SPOILT_EVERY != 0) {
                    return "made for " + txn;
                }
                answerWithoutEnd(rig, self, connection, txn);
                return null;
            });
            discovery.tell(server, "Ready", 0);
        }
        Rig2.Node node = rig.startNode(
                Rig2.config(discovery, 1, Rig2.siteClasses(), "", Rig2.WARM_KEYS, 1024, 192));
        AtomicInteger inTime = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Thread client = new Thread(() -> ask(rig, node, number, inTime, lost));
            client.start();
            clients.add(client);
            Rig2.sleep(50);
        }
        for (Thread client : clients) {
            client.join(STAYS_MS + 2_000);
        }
        rig.log("result", inTime + " of " + CLIENTS + " requests ended in time; lost: " + lost);
        if (inTime.get() < CLIENTS / 2) {
            return Rig2.COULD_NOT_RUN;
        }
        return lost.get() == 0 ? Rig2.HELD : Rig2.BROKEN;
    }

    private static void answerWithoutEnd(Rig2 rig, Rig2.AppServer server, Socket connection, String txn)
            throws Exception {
        connection.getOutputStream().write(Rig2.bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
        byte[] chunk = Rig2.bytes(Integer.toHexString(CHUNK_BYTES) + "\r\n" + "x".repeat(CHUNK_BYTES) + "\r\n");
        int sent = 0;
        try {
            while (sent + CHUNK_BYTES <= MAX_BYTES) {
                connection.getOutputStream().write(chunk);
                sent += CHUNK_BYTES;
                Rig2.sleep(CHUNK_EVERY_MS);
            }
            rig.log(server.id, "stops in the answer to " + txn + " after " + sent + " bytes");
        } catch (java.io.IOException e) {
            rig.log(server.id, "was left in the answer to " + txn + " after " + sent + " bytes");
        }
    }

    private static void ask(Rig2 rig, Rig2.Node node, int number, AtomicInteger inTime, AtomicInteger lost) {
        String txn = String.format("a%015x", number);
        boolean search = number % 2 == 0;
        double sentAtMs = Double.NaN;
        int bytes = 0;
        String end;
        try (Socket socket = new Socket(Rig2.loopback(), node.port)) {
            socket.setSoTimeout(STAYS_MS);
            socket.getOutputStream()
                    .write(Rig2.bytes(Rig2.head(
                            search ? "GET" : "POST",
                            "k" + number,
                            txn,
                            search ? "search" : "book-seat",
                            REMAINING_MS,
                            0)));
            sentAtMs = Rig2.ms();
            CountingInput in = new CountingInput(socket.getInputStream());
            try {
                Rig2.Message answer = Rig2.read(in);
                end = answer == null ? "a close" : answer.firstLine;
            } catch (SocketTimeoutException e) {
                end = "no end";
            } catch (java.io.IOException e) {
                end = "a visible failure (" + e.getMessage() + ")";
            }
            bytes = in.count;
        } catch (Exception e) {
            end = e.toString();
        }
        double afterMs = Rig2.ms() - sentAtMs;
        boolean isInTime = afterMs <= LIMIT_MS;
        (isInTime ? inTime : lost).incrementAndGet();
        rig.log(
                isInTime ? "client" : "check",
                String.format(
                        Locale.ROOT,
                        "%s got %s, %d bytes in all, after %.0f ms of %d%s",
                        txn,
                        end,
                        bytes,
                        afterMs,
                        REMAINING_MS,
                        isInTime ? "" : ": LOST"));
    }

    private static final class CountingInput extends InputStream {
        private final InputStream in;
        private int count;

        CountingInput(InputStream in) {
            this.in = in;
        }

        @Override
        public int read() throws java.io.IOException {
            int next = in.read();
            count += next < 0 ? 0 : 1;
            return next;
        }

        @Override
        public int read(byte[] to, int offset, int length) throws java.io.IOException {
            int read = in.read(to, offset, length);
            count += Math.max(0, read);
            return read;
        }
    }
}
