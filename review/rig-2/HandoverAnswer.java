import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The platform replaces the process under clients that keep their connections. What comes more than 0.7 s after SIGTERM
 * on a connection that the old process has left open has to be answered whole before SIGKILL.
 */
final class HandoverAnswer {
    private static final int SERVERS = 6;
    private static final int CLIENTS = 12;
    /** A large answer, far under the 32 MB that occur. */
    private static final int ANSWER = 1_000_000;
    /** A client reads 64 kB a second. */
    private static final int READ_BYTES = 6_400;

    private static final int READ_EVERY_MS = 100;
    /** The longest deadline, 3 s at most, and 0.7 s. */
    private static final int KILL_AFTER_MS = 3_700;

    private static final int FIRST_ASKED_AFTER_MS = 900;
    private static final int ASKED_EVERY_MS = 100;

    public static void main(String[] args) {
        Rig2.main(args, HandoverAnswer::run);
    }

    private static int run(Rig2 rig) throws Exception {
        byte[] large = new byte[ANSWER];
        Arrays.fill(large, (byte) 'x');
        Rig2.Discovery discovery = new Rig2.Discovery(rig);
        for (int i = 0; i < SERVERS; i++) {
            Rig2.AppServer server = new Rig2.AppServer(rig, "s-" + i, "ebene", (self, request, connection) -> {
                Rig2.sleep(30);
                if (!request.firstLine.contains("/large")) {
                    return "made for " + request.header("X-Txn");
                }
                connection
                        .getOutputStream()
                        .write(Rig2.bytes("HTTP/1.1 200 OK\r\nContent-Length: " + ANSWER + "\r\n\r\n"));
                connection.getOutputStream().write(large);
                return null;
            });
            discovery.tell(server, "Ready", 0);
        }
        Rig2.Platform platform = rig.new Platform(
                Rig2.config(discovery, 1, Rig2.siteClasses(), "", Rig2.WARM_KEYS, 1024, 192));
        Rig2.Member old = platform.start("old");
        old.awaitServing();

        // Clients whose connections the old process serves.
        List<Socket> sockets = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Socket socket = new Socket();
            socket.setReceiveBufferSize(16_384);
            socket.connect(new InetSocketAddress(Rig2.loopback(), platform.port));
            socket.setSoTimeout(25_000);
            sockets.add(socket);
            socket.getOutputStream()
                    .write(Rig2.bytes(Rig2.head("GET", "small" + i, String.format("a%015x", i), "search", 1_200, 0)));
            Rig2.read(socket.getInputStream());
        }
        if (Rig2.TROUBLE) {
            rig.log("platform", "replaces the process");
            platform.start("new").awaitServing();
            old.signal("TERM");
            Rig2.daemon("kill", () -> {
                Rig2.sleep(KILL_AFTER_MS);
                rig.log("old", old.process.isAlive() ? "SIGKILL" : "has ended by itself");
                old.process.destroyForcibly();
            });
        }
        double termAtMs = Rig2.ms();
        AtomicInteger whole = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        AtomicInteger turnedBack = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Thread client = new Thread(() -> {
                Rig2.sleep(Math.max(
                        0, (long) (termAtMs + FIRST_ASKED_AFTER_MS + number * ASKED_EVERY_MS - Rig2.ms())));
                ask(rig, sockets.get(number), number, termAtMs, whole, lost, turnedBack);
            });
            client.start();
            clients.add(client);
        }
        for (Thread client : clients) {
            client.join(40_000);
        }
        rig.log("result", CLIENTS + " requests over 0.7 s after SIGTERM: answered whole " + whole + ", lost " + lost
                + ", refused or turned back unread " + turnedBack);
        return lost.get() == 0 ? Rig2.HELD : Rig2.BROKEN;
    }

    private static void ask(
            Rig2 rig,
            Socket socket,
            int number,
            double termAtMs,
            AtomicInteger whole,
            AtomicInteger lost,
            AtomicInteger turnedBack) {
        String txn = String.format("b%015x", number);
        int got = 0;
        boolean begun = false;
        String end;
        double sentAtMs = Rig2.ms() - termAtMs;
        try (socket) {
            socket.getOutputStream()
                    .write(Rig2.bytes(Rig2.head("GET", "large" + number, txn, "search", 1_200, 0)));
            InputStream in = socket.getInputStream();
            StringBuilder head = new StringBuilder();
            while (!head.toString().endsWith("\r\n\r\n")) {
                int next = in.read();
                if (next < 0) {
                    throw new IOException("closed");
                }
                head.append((char) next);
            }
            if (!head.toString().startsWith("HTTP/1.1 200")) {
                turnedBack.incrementAndGet();
                rig.log("client", txn + " got " + head.substring(0, head.indexOf("\r")));
                return;
            }
            begun = true;
            byte[] buffer = new byte[READ_BYTES];
            while (got < ANSWER) {
                int read = in.read(buffer);
                if (read < 0) {
                    throw new IOException("closed");
                }
                got += read;
                Rig2.sleep(READ_EVERY_MS);
            }
            end = "whole";
        } catch (IOException e) {
            end = e.getMessage();
        }
        if (end.equals("whole")) {
            whole.incrementAndGet();
        } else if (begun) {
            lost.incrementAndGet();
        } else {
            // Not served by the old process: its client asks again.
            turnedBack.incrementAndGet();
        }
        rig.log(
                begun && !end.equals("whole") ? "check" : "client",
                String.format(
                        Locale.ROOT,
                        "%s sent %.0f ms after SIGTERM: %d of %d bytes, %s after %.0f ms%s",
                        txn,
                        sentAtMs,
                        got,
                        ANSWER,
                        end,
                        Rig2.ms() - termAtMs - sentAtMs,
                        begun && !end.equals("whole") ? ": LOST" : ""));
    }
}
