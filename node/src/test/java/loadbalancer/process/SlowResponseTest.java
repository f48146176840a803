package loadbalancer.process;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * A node process and servers that write long responses in parts, with pauses between them. Of a response of more than
 * 64 KiB only the first bytes are timed, so that all of it has to reach the client, however long that takes.
 */
class SlowResponseTest {
    private static final int SERVERS = 8;

    /** How the end of a response is marked. */
    private enum Framing {
        LENGTH,
        CHUNKED,
        CLOSE
    }

    /**
     * A response that a server writes in parts.
     *
     * @param bytes the length of its body
     * @param partBytes how much of the body is written at once
     * @param pauseMs the time from one part to the next
     * @param remainingMs how long the client waits
     * @param beginsAfterMs when the head and the first part are written, from the arrival of the request
     */
    private record SlowResponse(int bytes, int partBytes, int pauseMs, int remainingMs, int beginsAfterMs) {}

    /** The first five have the lengths, the clients' times and about the paces of responses that were lost. */
    private static final List<SlowResponse> RESPONSES = List.of(
            new SlowResponse(164_804, 20_000, 200, 756, 25),
            new SlowResponse(216_562, 29_000, 300, 825, 95),
            new SlowResponse(180_057, 10_300, 100, 492, 20),
            new SlowResponse(132_567, 24_000, 300, 581, 15),
            new SlowResponse(193_576, 40_000, 400, 846, 30),
            new SlowResponse(160_000, 14_000, 150, 500, 0),
            new SlowResponse(160_000, 20_000, 400, 700, 0),
            new SlowResponse(90_000, 3_400, 100, 1_000, 0),
            new SlowResponse(160_000, 60_000, 1_500, 700, 0),
            new SlowResponse(160_000, 20_000, 200, 700, 0),
            new SlowResponse(120_000, 1_600, 25, 400, 200),
            new SlowResponse(200_000, 30_000, 300, 400, 200),
            new SlowResponse(400_000, 40_000, 500, 300, 0));

    @TempDir
    private Path folder;

    private final List<FakeServer> servers = new ArrayList<>();

    private static void sleep(long millis) throws IOException {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    /** Answers a request for the path {@code /api/FRAMING-INDEX}. */
    private static void respond(Http.Message request, FakeServer.Connection connection) throws IOException {
        String[] words = request.path().substring("/api/".length()).split("-");
        Framing framing = Framing.valueOf(words[0]);
        SlowResponse response = RESPONSES.get(Integer.parseInt(words[1]));
        connection.socket().setTcpNoDelay(true);
        sleep(response.beginsAfterMs);
        connection.write("HTTP/1.1 200 OK\r\n"
                + switch (framing) {
                    case LENGTH -> "Content-Length: " + response.bytes;
                    case CHUNKED -> "Transfer-Encoding: chunked";
                    case CLOSE -> "Connection: close";
                }
                + "\r\n\r\n");
        for (int written = 0; written < response.bytes; written += response.partBytes) {
            if (written > 0) {
                sleep(response.pauseMs);
            }
            String part = "a".repeat(Math.min(response.partBytes, response.bytes - written));
            connection.write(framing == Framing.CHUNKED ? NodeHarness.chunk(part) : part);
        }
        if (framing == Framing.CHUNKED) {
            connection.write("0\r\n\r\n");
        } else if (framing == Framing.CLOSE) {
            connection.socket().shutdownOutput();
        }
    }

    /** Returns what is wrong with the answer that a client got, or nothing if it is whole. */
    private static Optional<String> exchange(NodeProgram.RunningNode node, Framing framing, int index) {
        SlowResponse response = RESPONSES.get(index);
        String answer;
        try (Socket client = node.connect()) {
            NodeHarness.write(
                    client, Http.pageRequest("/api/" + framing + "-" + index, "t", response.remainingMs + "m"));
            Http.Message message = Http.readMessage(client.getInputStream());
            answer = message.status() + " with " + message.body().length() + " bytes";
        } catch (IOException e) {
            answer = e.toString();
        }
        boolean whole = answer.equals("200 with " + response.bytes + " bytes");
        return whole ? Optional.empty() : Optional.of(framing + " " + response + ": " + answer);
    }

    /**
     * Guards against cutting off a long response that its server is still writing: each has to reach its client whole,
     * whether its length was announced or not.
     */
    @Test
    void longResponsesWithPausesAreNotCutOff() throws Exception {
        List<String> endpoints = new ArrayList<>();
        try {
            for (int i = 0; i < SERVERS; i++) {
                FakeServer server = new FakeServer(SlowResponseTest::respond);
                servers.add(server);
                endpoints.add(server.endpoint());
            }
            try (NodeProgram.RunningNode node =
                    NodeProgram.startWithDescriptors(folder, 512, "127.0.0.1:9", endpoints)) {
                // The first exchange of a process may be slow.
                exchange(node, Framing.LENGTH, 0);
                List<Callable<Optional<String>>> exchanges = new ArrayList<>();
                for (Framing framing : Framing.values()) {
                    IntStream.range(0, RESPONSES.size())
                            .forEach(index -> exchanges.add(() -> exchange(node, framing, index)));
                }
                ConcurrentExchanges.assertNoneFails(exchanges);
            }
        } finally {
            for (FakeServer server : servers) {
                server.close();
            }
        }
    }
}
