package loadbalancer.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A server that answers once it has read a request's head, and reads on. */
final class Early implements AutoCloseable {
    private final ServerSocket listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

    Early(String answer) throws IOException {
        Thread thread = new Thread(
                () -> {
                    try (Socket socket = listening.accept()) {
                        Http.readHead(socket.getInputStream());
                        socket.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
                        socket.getInputStream().readAllBytes();
                    } catch (IOException e) {
                        // The node has closed, or the test is over.
                    }
                },
                "early");
        thread.setDaemon(true);
        thread.start();
    }

    String endpoint() {
        return "127.0.0.1:" + listening.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        listening.close();
    }
}
