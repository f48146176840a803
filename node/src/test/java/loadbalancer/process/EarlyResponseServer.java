package loadbalancer.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A server that responds as soon as it has read the head of a request, and then keeps reading. */
final class EarlyResponseServer implements AutoCloseable {
    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

    EarlyResponseServer(String response) throws IOException {
        Thread thread = new Thread(
                () -> {
                    try (Socket socket = listener.accept()) {
                        Http.readHead(socket.getInputStream());
                        socket.getOutputStream().write(response.getBytes(StandardCharsets.UTF_8));
                        socket.getInputStream().readAllBytes();
                    } catch (IOException e) {
                        // The node has closed, or the test is over.
                    }
                },
                "early-response-server");
        thread.setDaemon(true);
        thread.start();
    }

    String endpoint() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
