package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A node whose clients transfer far more data at the same time than fits into its memory. */
class SmallHeapTest {
    private static final int BODY_BYTES = 32 << 20;
    /** Number of uploads, and number of downloads. Together they transfer 512 MB. */
    private static final int EXCHANGES = 8;

    private static final int CHUNK_BYTES = 8_192;

    private final ExecutorService threads = Executors.newCachedThreadPool();
    /** A transfer continues only once all have started, so that the node buffers as much of each as it can. */
    private final CountDownLatch started = new CountDownLatch(2 * EXCHANGES);

    private void awaitAllStarted() throws IOException {
        started.countDown();
        try {
            if (!started.await(60, TimeUnit.SECONDS)) {
                throw new IOException("not all have started");
            }
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    /** The body of a request or response: pseudo-random bytes that its transaction id determines. */
    private static final class Content {
        private final SplittableRandom random;
        private final byte[] part = new byte[CHUNK_BYTES];

        Content(String txn) {
            random = new SplittableRandom(txn.hashCode());
        }

        byte[] next() {
            random.nextBytes(part);
            return part;
        }
    }

    private static MessageDigest newSha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    private static String digest(String txn) {
        MessageDigest sha = newSha256();
        Content content = new Content(txn);
        for (int sent = 0; sent < BODY_BYTES; sent += CHUNK_BYTES) {
            sha.update(content.next());
        }
        return HexFormat.of().formatHex(sha.digest());
    }

    private String digest(InputStream in, int firstBytes) throws IOException {
        MessageDigest sha = newSha256();
        sha.update(in.readNBytes(firstBytes));
        awaitAllStarted();
        for (int remaining = BODY_BYTES - firstBytes; remaining > 0; ) {
            byte[] part = in.readNBytes(Math.min(remaining, CHUNK_BYTES));
            sha.update(part);
            remaining -= part.length;
            if (part.length == 0) {
                throw new IOException("truncated body, " + remaining + " bytes missing");
            }
        }
        return HexFormat.of().formatHex(sha.digest());
    }

    private static void send(OutputStream out, String txn) throws IOException {
        Content content = new Content(txn);
        for (int sent = 0; sent < BODY_BYTES; sent += CHUNK_BYTES) {
            out.write(content.next());
        }
    }

    /** Responds to GET with a large body, and to any other request with the digest of its large body. */
    private void serve(ServerSocket listening) {
        threads.submit(() -> {
            while (true) {
                Socket socket = listening.accept();
                threads.submit(() -> {
                    Http.Message request = Http.readHead(socket.getInputStream());
                    String txn = request.headers().get("x-txn");
                    if (request.startLine().startsWith("GET")) {
                        NodeHarness.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n");
                        send(socket.getOutputStream(), txn);
                    } else {
                        NodeHarness.write(socket, Http.okResponse(digest(socket.getInputStream(), CHUNK_BYTES)));
                    }
                    return null;
                });
            }
        });
    }

    private String download(int port, String txn) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            NodeHarness.write(socket, Http.pageRequest("/api/x", txn, "60000m"));
            assertEquals(200, Http.readHead(socket.getInputStream()).status());
            return digest(socket.getInputStream(), CHUNK_BYTES);
        }
    }

    private String upload(int port, String txn) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            NodeHarness.write(
                    socket,
                    Http.orderRequest(txn, "60000m")
                            .replace("Content-Length: 2\r\n\r\nab", "Content-Length: " + BODY_BYTES + "\r\n\r\n"));
            send(socket.getOutputStream(), txn);
            return Http.readMessage(socket.getInputStream()).body();
        }
    }

    /**
     * Guards against buffering without a limit, which would run out of memory. Eight clients upload and eight clients
     * download 32 MB each at the same time, through a node with a heap of 32 MB. Every byte must arrive, in order.
     */
    @Test
    void largeTransfersAtOnceArriveUnchanged(@TempDir Path folder) throws Exception {
        try (ServerSocket listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            serve(listening);
            NodeProgram.RunningNode node = NodeProgram.startWithHeap(
                    folder, 32, 16, "127.0.0.1:9", List.of("127.0.0.1:" + listening.getLocalPort()));
            try {
                int port = node.port();
                List<Future<String>> downloads = new ArrayList<>();
                List<Future<String>> uploads = new ArrayList<>();
                for (int i = 0; i < EXCHANGES; i++) {
                    String txn = "t" + i;
                    downloads.add(threads.submit(() -> download(port, "down" + txn)));
                    uploads.add(threads.submit(() -> upload(port, "up" + txn)));
                }
                for (int i = 0; i < EXCHANGES; i++) {
                    assertEquals(digest("downt" + i), downloads.get(i).get(60, TimeUnit.SECONDS));
                    assertEquals(digest("upt" + i), uploads.get(i).get(60, TimeUnit.SECONDS));
                }
            } finally {
                node.close();
                threads.shutdownNow();
            }
        }
    }
}
