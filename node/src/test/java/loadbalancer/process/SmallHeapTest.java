package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
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
import loadbalancer.Main;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Far more flows through a node at once than it has memory for. */
class SmallHeapTest {
    private static final String HEAP = "-Xmx32m";
    private static final int LENGTH = 32 << 20;
    /** Each way; together 512 MB. */
    private static final int EXCHANGES = 8;

    private static final int PART = 8_192;

    private final ExecutorService threads = Executors.newCachedThreadPool();
    /** Nobody goes on past the beginning before all have begun: the node then holds what it can of each. */
    private final CountDownLatch begun = new CountDownLatch(2 * EXCHANGES);

    private void begin() throws IOException {
        begun.countDown();
        try {
            if (!begun.await(60, TimeUnit.SECONDS)) {
                throw new IOException("not all have begun");
            }
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    /** What is sent under an id: different bytes under each. */
    private static final class Content {
        private final SplittableRandom random;
        private final byte[] part = new byte[PART];

        Content(String txn) {
            random = new SplittableRandom(txn.hashCode());
        }

        byte[] next() {
            random.nextBytes(part);
            return part;
        }
    }

    private static MessageDigest sha() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    private static String digest(String txn) {
        MessageDigest sha = sha();
        Content content = new Content(txn);
        for (int sent = 0; sent < LENGTH; sent += PART) {
            sha.update(content.next());
        }
        return HexFormat.of().formatHex(sha.digest());
    }

    private String digest(InputStream in, int begins) throws IOException {
        MessageDigest sha = sha();
        sha.update(in.readNBytes(begins));
        begin();
        for (int left = LENGTH - begins; left > 0; ) {
            byte[] part = in.readNBytes(Math.min(left, PART));
            sha.update(part);
            left -= part.length;
            if (part.length == 0) {
                throw new IOException("cut short, " + left + " left");
            }
        }
        return HexFormat.of().formatHex(sha.digest());
    }

    private static void send(OutputStream out, String txn) throws IOException {
        Content content = new Content(txn);
        for (int sent = 0; sent < LENGTH; sent += PART) {
            out.write(content.next());
        }
    }

    /** A server that gives large answers and takes large bodies, which it answers with their digest. */
    private void serve(ServerSocket listening) {
        threads.submit(() -> {
            while (true) {
                Socket socket = listening.accept();
                threads.submit(() -> {
                    Http.Message asked = Http.readHead(socket.getInputStream());
                    String txn = asked.headers().get("x-txn");
                    if (asked.startLine().startsWith("GET")) {
                        NodeHarness.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + LENGTH + "\r\n\r\n");
                        send(socket.getOutputStream(), txn);
                    } else {
                        NodeHarness.write(socket, Http.okResponse(digest(socket.getInputStream(), PART)));
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
            return digest(socket.getInputStream(), PART);
        }
    }

    private String upload(int port, String txn) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            NodeHarness.write(
                    socket,
                    Http.orderRequest(txn, "60000m")
                            .replace("Content-Length: 2\r\n\r\nab", "Content-Length: " + LENGTH + "\r\n\r\n"));
            send(socket.getOutputStream(), txn);
            return Http.readMessage(socket.getInputStream()).body();
        }
    }

    @Test
    void manyLargeExchangesAtOnceArriveUnharmed(@TempDir Path folder) throws Exception {
        try (ServerSocket listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            serve(listening);
            Path config = Files.writeString(folder.resolve("config.json"), """
                    {"listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"1","limits":{"sockets":256},
                     "known":%s,
                     "settings":{"zones":["here"],"limits":{"attemptsCap":4},
                     "classes":[{"name":"page","onTimeUs":60000000,"giveUpUs":60000000,"repeat":"safe"},
                      {"name":"order","onTimeUs":60000000,"giveUpUs":60000000,"repeat":"unsafe"}]}}
                    """.formatted(
                            NodeHarness.endpointList(1, true, "s0=127.0.0.1:" + listening.getLocalPort() + "=Ready")));
            String java = ProcessHandle.current().info().command().orElseThrow();
            ProcessBuilder builder = new ProcessBuilder(
                    java,
                    HEAP,
                    "-XX:MaxDirectMemorySize=16m",
                    "-XX:+ExitOnOutOfMemoryError",
                    "-cp",
                    System.getProperty("java.class.path"),
                    Main.class.getName(),
                    "node");
            builder.environment().put("PROXY_CONFIG", config.toString());
            Process program = builder.redirectErrorStream(true).start();
            try {
                String line;
                do {
                    line = program.inputReader().readLine();
                    assertNotNull(line, "the program has ended");
                } while (!line.startsWith("level=info event=listening "));
                int port = Integer.parseInt(line.substring(line.lastIndexOf(':') + 1));
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
                program.destroyForcibly();
                threads.shutdownNow();
            }
        }
    }
}
