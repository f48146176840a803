package loadbalancer.harness.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A discovery service that is up and has no news: its watches get heartbeats only. */
final class SoakDiscovery implements AutoCloseable {
    private static final int HEARTBEAT_MS = 2_000;
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String EMPTY_LINE = "1\r\n\n\r\n";

    private final ServerSocket listener = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());

    SoakDiscovery() throws IOException {
        SoakThreads.start("discovery", () -> {
            while (true) {
                Socket socket = listener.accept();
                SoakThreads.start("watch", () -> serve(socket));
            }
        });
    }

    /** Returns its address, as host and port. */
    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private static void serve(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            InputStream in = socket.getInputStream();
            Wire.read(in);
            OutputStream out = socket.getOutputStream();
            out.write(Wire.ascii(HEAD));
            while (true) {
                out.write(Wire.ascii(EMPTY_LINE));
                Thread.sleep(HEARTBEAT_MS);
            }
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
