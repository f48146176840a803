import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 1. App servers serve nine requests in ten and turn one in ten away, as full. After one answer in twenty, the same
 * answer comes a second time on its connection, 2 to 6 ms later: whole, or in two pieces. Each 200 that a client gets
 * must have the body that an app server made for that request, and no POST may run twice.
 */
final class ForeignAnswer {
    private static final int SERVERS = 4;
    private static final int CLIENTS = 10;
    private static final int REQUESTS_PER_CLIENT = 200;
    private static final int SPOILT_ONE_IN = 20;
    private static final int TURNED_AWAY_ONE_IN = 10;

    private final Map<String, String> madeFor = new ConcurrentHashMap<>();
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final AtomicInteger ranTwice = new AtomicInteger();
    private final AtomicInteger answers = new AtomicInteger();
    private final AtomicInteger spoiltWhole = new AtomicInteger();
    private final AtomicInteger spoiltInPieces = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger foreign = new AtomicInteger();
    private final AtomicInteger unserved = new AtomicInteger();
    private final AtomicInteger failedConnections = new AtomicInteger();

    public static void main(String[] arguments) {
        Rig.main(arguments, rig -> new ForeignAnswer().run(rig));
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
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            clients.add(Rig.daemon(() -> ask(rig, number)));
        }
        for (Thread client : clients) {
            client.join();
        }
        rig.say("answers that came twice: " + spoiltWhole + " whole, " + spoiltInPieces + " in two pieces, of " + answers);
        rig.say("clients: served " + served + ", of them with a body made for another request " + foreign
                + "; refused or failed " + unserved + "; connections that ended " + failedConnections);
        if (served.get() < CLIENTS * REQUESTS_PER_CLIENT / 2) {
            throw new IllegalStateException("too few requests were served to judge");
        }
        rig.say("POST requests that ran twice: " + ranTwice);
        return foreign.get() > 0 || ranTwice.get() > 0;
    }

    private boolean serve(Rig rig, Rig.AppServer server, Rig.Connection connection, Rig.Message request)
            throws Exception {
        String id = request.field("x-txn");
        boolean post = request.firstLine.startsWith("POST");
        Random random = new Random((id + server.name).hashCode());
        String answer;
        if (random.nextInt(TURNED_AWAY_ONE_IN) == 0) {
            rig.log(server.name, "turns away " + id);
            answer = "HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n";
        } else {
            boolean again = runs.merge(id, 1, Integer::sum) > 1;
            rig.log(server.name, (again && post ? "RUNS A SECOND TIME: " : "runs ") + (post ? "POST " : "GET ") + id);
            ranTwice.addAndGet(again && post ? 1 : 0);
            String body = "made for " + id + " by " + server.name;
            madeFor.put(id + "/" + body, body);
            Thread.sleep(10 + random.nextInt(30));
            answer = Rig.answer(body);
        }
        connection.write(answer);
        int number = answers.incrementAndGet();
        if (Rig.TROUBLE && number % SPOILT_ONE_IN == 0) {
            boolean inPieces = number / SPOILT_ONE_IN % 2 == 0;
            (inPieces ? spoiltInPieces : spoiltWhole).incrementAndGet();
            rig.log(server.name, "answers " + id + " twice" + (inPieces ? ", in two pieces" : ""));
            Thread.sleep(2);
            int cut = inPieces ? 30 : 0;
            connection.write(answer.substring(0, cut));
            Thread.sleep(random.nextInt(5));
            connection.write(answer.substring(cut));
        }
        return true;
    }

    private void ask(Rig rig, int client) throws Exception {
        Random random = new Random(client);
        Rig.Client connection = null;
        for (int k = 0; k < REQUESTS_PER_CLIENT; k++) {
            String id = String.format("%08x%08x", client + 1, k + 1);
            boolean book = random.nextBoolean();
            if (connection == null) {
                connection = rig.connect();
                connection.socket.setSoTimeout(5_000);
            }
            try {
                connection.write(Rig.requestHead(
                        book ? "POST" : "GET", "trip" + random.nextInt(100), id, book ? "book-seat" : "search",
                        book ? 3_000 : 1_000, book ? 0 : -1));
                Rig.Message answer = connection.readAnswer();
                judge(rig, id, answer);
                if (answer.field("connection").equalsIgnoreCase("close")) {
                    connection.close();
                    connection = null;
                }
            } catch (java.io.IOException e) {
                failedConnections.incrementAndGet();
                rig.log("client", id + " " + e);
                connection.close();
                connection = null;
            }
            Thread.sleep(random.nextInt(280));
        }
        if (connection != null) {
            connection.close();
        }
    }

    private void judge(Rig rig, String id, Rig.Message answer) {
        if (answer.status != 200) {
            unserved.incrementAndGet();
            rig.log("client", id + " got " + answer.status);
            return;
        }
        served.incrementAndGet();
        String body = new String(answer.body, StandardCharsets.ISO_8859_1);
        if (!madeFor.containsKey(id + "/" + body)) {
            foreign.incrementAndGet();
            rig.log("client", "FOREIGN: " + id + " got 200 with \"" + body + "\"");
        } else {
            rig.log("client", id + " got 200 with its own body");
        }
    }
}
