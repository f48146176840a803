package loadbalancer.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/** A server whose backlog is full. The system retries a connection a second later, so connections open late. */
final class LateServer implements AutoCloseable {
    final BlockingQueue<String> receivedTxns = new LinkedBlockingQueue<>();
    private final List<Socket> open = new ArrayList<>();
    private final ServerSocket listening = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());

    LateServer() throws IOException {
        for (int i = 0; i < 2; i++) {
            open.add(new Socket(listening.getInetAddress(), listening.getLocalPort()));
        }
    }

    String entry(String id) {
        return id + "=127.0.0.1:" + listening.getLocalPort() + "=Ready";
    }

    /** Accepts connections from now on, and records and serves the requests on them. */
    void startAccepting() {
        Thread thread = new Thread(
                () -> {
                    try {
                        while (true) {
                            Socket socket = listening.accept();
                            open.add(socket);
                            Thread peer = new Thread(() -> serve(socket), "late peer");
                            peer.setDaemon(true);
                            peer.start();
                        }
                    } catch (IOException e) {
                        // Closed: the test is over.
                    }
                },
                "late");
        thread.setDaemon(true);
        thread.start();
    }

    private void serve(Socket socket) {
        try {
            while (true) {
                receivedTxns.add(
                        Http.readMessage(socket.getInputStream()).headers().get("x-txn"));
                new FakeServer.Connection(socket).write(Http.okResponse("late"));
            }
        } catch (IOException e) {
            // The connection has ended.
        }
    }

    @Override
    public void close() throws IOException {
        listening.close();
    }
}
