import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Case 3. One answer in five never ends: its head and its first part come in time, then five bytes more every 200 ms, in
 * chunks. Each request must get its final answer no later than half a second after its time: a whole answer, or one that
 * the client can tell to have failed.
 */
final class EndlessAnswer {
    private static final int SERVERS = 4;
    private static final int REQUESTS = 50;
    private static final int SPOILT_ONE_IN = 5;
    private static final long TIME_MS = 1_000;
    /** Half a second of the rule, and the 50 ms by which every time limit is longer on sockets. */
    private static final long SLACK_MS = 550;
    /** How long a client stays for its answer, so that one that comes too late is seen. */
    private static final long STAY_MS = 12_000;

    private final AtomicInteger spoilt = new AtomicInteger();
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicLong longestMs = new AtomicLong();

    public static void main(String[] arguments) {
        Rig.main(arguments, rig -> new EndlessAnswer().run(rig));
    }

    private boolean run(Rig rig) throws Exception {
        List<Rig.AppServer> servers = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            servers.add(rig.new AppServer("s-" + i, (server, connection, request) -> serve(rig, server, connection, request)));
        }
        rig.startNode(
                Rig.settings(
                        Rig.requestClass("search", "safe", 400_000, 2_000_000) + ","
                                + Rig.requestClass("book-seat", "unsafe", 2_000_000, 6_000_000),
                        200_000),
                servers,
                1024);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            int number = i;
            clients.add(Rig.daemon(() -> ask(rig, number)));
            Thread.sleep(200);
        }
        for (Thread client : clients) {
            client.join();
        }
        rig.say("answers that never end: " + spoilt);
        rig.say("clients: " + REQUESTS + " requests, answered whole " + whole + ", failed or refused in time " + failed
                + ", lost " + lost + "; the longest wait was " + longestMs + " ms");
        if (whole.get() < REQUESTS / 4) {
            throw new IllegalStateException("too few requests were served to judge");
        }
        return lost.get() > 0;
    }

    private boolean serve(Rig rig, Rig.AppServer server, Rig.Connection connection, Rig.Message request)
            throws Exception {
        String id = request.field("x-txn");
        rig.log(server.name, "runs " + id);
        Thread.sleep(30);
        int number = Integer.parseInt(id.substring(8), 16);
        if (!Rig.TROUBLE || number % SPOILT_ONE_IN != 0) {
            connection.write(Rig.answer("made for " + id));
            return true;
        }
        spoilt.incrementAndGet();
        rig.log(server.name, "answers " + id + " without an end");
        connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        while (true) {
            connection.write("5\r\nabcde\r\n");
            Thread.sleep(200);
        }
    }

    private void ask(Rig rig, int number) throws Exception {
        String id = String.format("%08x%08x", 1, number);
        boolean book = number % 2 == 1;
        long sentUs;
        String got;
        boolean inTime;
        try (Rig.Client connection = rig.connect()) {
            connection.closeAfter(STAY_MS);
            sentUs = rig.nowUs();
            try {
                connection.write(Rig.requestHead(
                        book ? "POST" : "GET", "trip" + number, id, book ? "book-seat" : "search", TIME_MS,
                        book ? 0 : -1));
                Rig.Message answer = connection.readAnswer();
                got = answer.status + " whole";
                inTime = (rig.nowUs() - sentUs) / 1_000 <= TIME_MS + SLACK_MS;
                if (inTime) {
                    (answer.status == 200 ? whole : failed).incrementAndGet();
                }
            } catch (IOException e) {
                // In time, the client can tell that the answer has failed; later, it was the client that left.
                got = e.toString();
                inTime = (rig.nowUs() - sentUs) / 1_000 <= TIME_MS + SLACK_MS;
                if (inTime) {
                    failed.incrementAndGet();
                }
            }
        }
        long tookMs = (rig.nowUs() - sentUs) / 1_000;
        longestMs.accumulateAndGet(tookMs, Math::max);
        if (!inTime) {
            lost.incrementAndGet();
        }
        rig.log("client", (inTime ? "" : "LOST: ") + id + " (" + (book ? "POST" : "GET") + ") " + got + " after " + tookMs
                + " ms");
    }
}
