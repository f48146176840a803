package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A fake server or a fake discovery service. It records the requests that it receives, and a script responds. */
public final class FakeServer implements AutoCloseable {
    /** Handles the requests of a fake server. */
    public interface Script {
        void respond(Http.Message request, Connection connection) throws IOException;
    }

    /** A connection that a node has opened. */
    public record Connection(Socket socket) {
        public void write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        }

        /** Resets the connection. */
        public void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    public final BlockingQueue<Http.Message> requests = new LinkedBlockingQueue<>();
    public final BlockingQueue<Connection> respondedConnections = new LinkedBlockingQueue<>();
    public final BlockingQueue<Connection> closedConnections = new LinkedBlockingQueue<>();
    final AtomicInteger connectionCount = new AtomicInteger();
    private final Queue<Socket> openSockets = new ConcurrentLinkedQueue<>();
    private final ServerSocket listener;
    private final Script script;

    public FakeServer(Script script) throws IOException {
        this.script = script;
        listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        startDaemon(this::accept);
    }

    public static FakeServer respondingWith(String body) throws IOException {
        return new FakeServer((request, connection) -> connection.write(Http.okResponse(body)));
    }

    /** Returns a server that responds to each request with its transaction id once the latch has been counted down. */
    static FakeServer respondingWhen(CountDownLatch latch) throws IOException {
        return new FakeServer((request, connection) -> {
            awaitLatch(latch);
            connection.write(Http.okResponse(request.headers().get("x-txn")));
        });
    }

    /** Returns a server that resets the connection of each request once the latch has been counted down. */
    static FakeServer resettingWhen(CountDownLatch latch) throws IOException {
        return new FakeServer((request, connection) -> {
            awaitLatch(latch);
            connection.reset();
        });
    }

    /** Waits for a latch in a script, which may throw {@link IOException} only. */
    static void awaitLatch(CountDownLatch latch) throws IOException {
        try {
            assertTrue(latch.await(20, TimeUnit.SECONDS));
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    public String endpoint() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(task, "fake-server");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                openSockets.add(socket);
                connectionCount.incrementAndGet();
                startDaemon(() -> serve(new Connection(socket)));
            }
        } catch (IOException e) {
            // Closed: the test is over.
        }
    }

    private void serve(Connection connection) {
        try {
            while (true) {
                Http.Message request = Http.readMessage(connection.socket.getInputStream());
                requests.add(request);
                script.respond(request, connection);
                // Added after the script's response, because what a test writes to the connection must follow it.
                respondedConnections.add(connection);
            }
        } catch (IOException e) {
            closedConnections.add(connection);
        }
    }

    public static <T> T awaitNext(BlockingQueue<T> queue) throws InterruptedException {
        T item = queue.poll(20, TimeUnit.SECONDS);
        assertNotNull(item, "nothing arrived within 20 s");
        return item;
    }

    /** Simulates the end of the server's process: closes all connections and refuses new ones. */
    public void stop() throws IOException {
        listener.close();
        for (Socket socket : openSockets) {
            socket.close();
        }
    }

    @Override
    public void close() throws IOException {
        stop();
    }
}
