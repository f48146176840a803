import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Case 2. 330 clients send 6 commands each with bodies of 60,000 bytes: all at once on their connection, or (TROUBLE=0)
 * one after the other's answer. Five other clients send one small request at a time all along. Each of the five's
 * requests must get its final answer no later than half a second after its time.
 */
final class CommandsAtOnce {
    private static final int SERVERS = 12;
    private static final int SERVICE_MS = 100;
    private static final int MANY = 330;
    private static final int COMMANDS = 6;
    private static final int BODY_BYTES = 60_000;
    private static final int OTHERS = 5;
    private static final long OTHERS_TIME_MS = 1_000;
    /** Half a second of the rule, and the 50 ms by which every time limit is longer on sockets. */
    private static final long SLACK_MS = 550;

    private static final int QUIET_MS = 2_000;
    private static final int PLAY_MS = 22_000;

    private final AtomicBoolean stop = new AtomicBoolean();
    private final AtomicInteger othersSent = new AtomicInteger();
    private final AtomicInteger othersLost = new AtomicInteger();
    private final AtomicInteger othersServed = new AtomicInteger();
    private final AtomicLong longestMs = new AtomicLong();
    private final AtomicInteger manyAnswered = new AtomicInteger();
    private final AtomicInteger manyCut = new AtomicInteger();

    public static void main(String[] arguments) {
        Rig.main(arguments, rig -> new CommandsAtOnce().run(rig));
    }

    private boolean run(Rig rig) throws Exception {
        List<Rig.AppServer> servers = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            servers.add(rig.new AppServer("s-" + i, (server, connection, request) -> {
                Thread.sleep(SERVICE_MS);
                connection.write(Rig.answer("made for " + request.field("x-txn")));
                return true;
            }));
        }
        rig.startNode(
                Rig.settings(
                        Rig.requestClass("search", "safe", 400_000, 2_000_000) + ","
                                + Rig.requestClass("post-trip", "unsafe", 2_500_000, 5_000_000),
                        200_000),
                servers,
                1024);
        List<Thread> others = new ArrayList<>();
        for (int i = 0; i < OTHERS; i++) {
            int number = i;
            others.add(Rig.daemon(() -> askOneAtATime(rig, number)));
        }
        Thread.sleep(QUIET_MS);
        rig.log("clients", MANY + " clients begin");
        for (int i = 0; i < MANY; i++) {
            int number = i;
            Rig.daemon(() -> command(rig, number));
        }
        Thread.sleep(PLAY_MS);
        stop.set(true);
        for (Thread other : others) {
            other.join(10_000);
        }
        rig.say("the many: " + manyAnswered + " of " + MANY * COMMANDS + " commands answered, " + manyCut
                + " connections ended with commands unanswered");
        rig.say("the others: " + othersSent + " requests sent, " + othersServed + " served, lost " + othersLost
                + "; the longest wait was " + longestMs + " ms");
        if (!rig.nodeIsAlive()) {
            rig.say("the node has ended");
            return true;
        }
        if (othersServed.get() < 50) {
            throw new IllegalStateException("too few requests were served to judge");
        }
        return othersLost.get() > 0;
    }

    /** One of the other clients: a small request at a time, on a connection that it keeps. */
    private void askOneAtATime(Rig rig, int client) throws Exception {
        Rig.Client connection = null;
        for (int k = 0; !stop.get(); k++) {
            if (connection == null) {
                connection = rig.connect();
            }
            String id = String.format("%08x%08x", client + 1, k + 1);
            // The client stays well past its time, so that an answer that comes too late is seen.
            connection.socket.setSoTimeout(8_000);
            othersSent.incrementAndGet();
            long sentUs = rig.nowUs();
            String got;
            try {
                connection.write(Rig.requestHead("GET", "trip" + client, id, "search", OTHERS_TIME_MS, -1));
                Rig.Message answer = connection.readAnswer();
                got = Integer.toString(answer.status);
                if (answer.field("connection").equalsIgnoreCase("close")) {
                    connection.close();
                    connection = null;
                }
            } catch (IOException e) {
                got = e.toString();
                connection.close();
                connection = null;
            }
            long tookMs = (rig.nowUs() - sentUs) / 1_000;
            longestMs.accumulateAndGet(tookMs, Math::max);
            boolean answered = got.matches("\\d+");
            boolean lost = !answered || tookMs > OTHERS_TIME_MS + SLACK_MS;
            othersServed.addAndGet(got.equals("200") ? 1 : 0);
            othersLost.addAndGet(lost ? 1 : 0);
            rig.log("other-" + client, (lost ? "LOST: " : "") + id + " sent at " + sentUs / 1_000 + " ms, got " + got
                    + " after " + tookMs + " ms");
            Thread.sleep(50);
        }
    }

    /** One of the many clients. */
    private void command(Rig rig, int client) throws Exception {
        String body = "x".repeat(BODY_BYTES);
        List<String> commands = new ArrayList<>();
        for (int k = 0; k < COMMANDS; k++) {
            commands.add(Rig.requestHead(
                    "POST", "trip" + client, String.format("%08x%08x", 1000 + client, k + 1), "post-trip", 4_000,
                    BODY_BYTES) + body);
        }
        int answered = 0;
        try (Rig.Client connection = rig.connect()) {
            connection.socket.setSoTimeout(PLAY_MS);
            if (Rig.TROUBLE) {
                Rig.daemon(() -> connection.write(String.join("", commands)));
            }
            while (answered < COMMANDS) {
                if (!Rig.TROUBLE) {
                    connection.write(commands.get(answered));
                }
                connection.readAnswer();
                answered++;
                manyAnswered.incrementAndGet();
            }
        } catch (IOException e) {
            manyCut.incrementAndGet();
            rig.log("client-" + client, e + " after " + answered + " answers");
        }
    }
}
