package loadbalancer.process;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A node process, servers that read large requests slowly, and clients whose time runs from their last byte. */
class SlowUploadTest {
    private static final int SERVERS = 12;
    private static final int SYSTEM_BUFFER = 0;
    /** A response is lost half a second after its client's time; every limit of the platform is 50 ms longer. */
    private static final int LOST_AFTER_MS = 550;

    private static final int READ_INTERVAL_MS = 20;

    /**
     * A request with a large body.
     *
     * @param bytes the length of its body
     * @param chunked whether the body is sent in one chunk, without a length
     * @param sendBuffer the client's send buffer in bytes, or {@link #SYSTEM_BUFFER}
     * @param remainingMs how long the client waits after its last byte
     * @param bytesPerSecond the pace at which the server reads
     * @param stopsAfter how much the server reads before it stops for good
     */
    private record SlowUpload(
            int bytes, boolean chunked, int sendBuffer, int remainingMs, int bytesPerSecond, int stopsAfter) {
        SlowUpload(int bytes, boolean chunked, int sendBuffer, int remainingMs, int bytesPerSecond) {
            this(bytes, chunked, sendBuffer, remainingMs, bytesPerSecond, Integer.MAX_VALUE);
        }
    }

    private static final List<SlowUpload> UPLOADS = uploads();

    private static List<SlowUpload> uploads() {
        List<SlowUpload> uploads = new ArrayList<>();
        for (int bytes : new int[] {300_000, 600_000, 900_000}) {
            for (int sendBuffer : new int[] {16 << 10, 256 << 10, SYSTEM_BUFFER}) {
                for (int remainingMs : new int[] {700, 2_000, 3_500}) {
                    uploads.add(new SlowUpload(bytes, false, sendBuffer, remainingMs, 77_000));
                }
                uploads.add(new SlowUpload(bytes, true, sendBuffer, 3_500, 77_000));
                uploads.add(new SlowUpload(bytes, false, sendBuffer, 3_500, 150_000));
                uploads.add(new SlowUpload(bytes, false, sendBuffer, 2_000, 77_000, 200_000));
            }
        }
        return uploads;
    }

    @TempDir
    private Path folder;

    private static ServerSocket startServer() throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.setReceiveBufferSize(16 << 10);
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        startDaemon(() -> {
            while (true) {
                Socket connection = listener.accept();
                startDaemon(() -> serve(connection));
            }
        });
        return listener;
    }

    /** Something that runs until its socket is closed. */
    private interface SocketTask {
        void run() throws IOException, InterruptedException;
    }

    private static void startDaemon(SocketTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException | InterruptedException e) {
                // The other side has closed the connection, or the test is over.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private static void serve(Socket connection) throws IOException, InterruptedException {
        try (connection) {
            InputStream in = connection.getInputStream();
            while (true) {
                Http.Message head = Http.readHead(in);
                SlowUpload upload = UPLOADS.get(Integer.parseInt(head.path().substring("/api/".length())));
                readSlowly(in, upload, head);
                connection.getOutputStream().write(Http.okResponse("done").getBytes(StandardCharsets.US_ASCII));
            }
        }
    }

    private static void readSlowly(InputStream in, SlowUpload upload, Http.Message head)
            throws IOException, InterruptedException {
        // A chunked body comes with framing: the rest of it is read at full speed.
        int left = upload.bytes;
        int partBytes = upload.bytesPerSecond * READ_INTERVAL_MS / 1_000;
        while (left > 0) {
            if (upload.bytes - left >= upload.stopsAfter) {
                Thread.sleep(TimeUnit.MINUTES.toMillis(1));
            }
            int read = in.readNBytes(Math.min(left, partBytes)).length;
            if (read == 0) {
                throw new IOException("the body was cut");
            }
            left -= read;
            Thread.sleep(READ_INTERVAL_MS);
        }
        if (head.headers().containsKey("transfer-encoding")) {
            StringBuilder rest = new StringBuilder();
            while (rest.indexOf("0\r\n\r\n") < 0) {
                rest.append((char) in.read());
            }
        }
    }

    /** Returns how late the answer was, or nothing if it came in time. */
    private static Optional<String> exchange(NodeProgram.RunningNode node, int index) throws IOException {
        SlowUpload upload = UPLOADS.get(index);
        String head = "POST /api/" + index + " HTTP/1.1\r\nHost: backend.local\r\nX-Txn: t" + index
                + "\r\nX-Lane: order\r\nX-Remaining: " + upload.remainingMs + "m\r\n";
        String body = "a".repeat(upload.bytes);
        String message = upload.chunked
                ? head + "Transfer-Encoding: chunked\r\n\r\n" + NodeHarness.chunk(body) + "0\r\n\r\n"
                : head + "Content-Length: " + upload.bytes + "\r\n\r\n" + body;
        try (Socket client = new Socket()) {
            if (upload.sendBuffer != SYSTEM_BUFFER) {
                client.setSendBufferSize(upload.sendBuffer);
            }
            client.setSoTimeout(20_000);
            client.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), node.port()));
            OutputStream out = client.getOutputStream();
            String end;
            long sentNanos = System.nanoTime();
            try {
                out.write(message.getBytes(StandardCharsets.US_ASCII));
                sentNanos = System.nanoTime();
                end = "status " + Http.readMessage(client.getInputStream()).status();
            } catch (IOException e) {
                end = e.toString();
            }
            long waitedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
            return waitedMs <= upload.remainingMs + LOST_AFTER_MS
                    ? Optional.empty()
                    : Optional.of(upload + ": " + end + " after " + waitedMs + " ms");
        }
    }

    /**
     * Guards against a final response that comes seconds late because the server reads a large request slowly, whatever
     * of it the client's own socket holds.
     */
    @Test
    void requestsToServersThatReadSlowlyEndInTime() throws Exception {
        List<ServerSocket> servers = new ArrayList<>();
        List<String> endpoints = new ArrayList<>();
        try {
            for (int i = 0; i < SERVERS; i++) {
                ServerSocket server = startServer();
                servers.add(server);
                endpoints.add("127.0.0.1:" + server.getLocalPort());
            }
            try (NodeProgram.RunningNode node =
                    NodeProgram.startWithDescriptors(folder, 512, "127.0.0.1:9", endpoints)) {
                List<Callable<Optional<String>>> exchanges = new ArrayList<>();
                IntStream.range(0, UPLOADS.size()).forEach(index -> exchanges.add(() -> exchange(node, index)));
                ConcurrentExchanges.assertNoneFails(exchanges);
            }
        } finally {
            for (ServerSocket server : servers) {
                server.close();
            }
        }
    }
}
