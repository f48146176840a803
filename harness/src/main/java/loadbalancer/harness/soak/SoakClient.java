package loadbalancer.harness.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;

/** A client's connection with one request at a time, judged by the {@link RequestLedger}. */
final class SoakClient implements AutoCloseable {
    /** How much longer than its time a client reads, so that a late response can be told from none. */
    private static final int EXTRA_READ_MS = 3_000;

    private final SoakPlatform platform;
    private final RequestLedger ledger;
    private final String name;
    private final Socket socket;
    private final InputStream in;
    private int requests;
    private boolean open = true;

    /** Connects. The name must be new. */
    SoakClient(SoakPlatform platform, RequestLedger ledger, String name) throws IOException {
        this.platform = platform;
        this.ledger = ledger;
        this.name = name;
        ledger.connect(name);
        socket = new Socket(InetAddress.getLoopbackAddress(), platform.port());
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** Returns whether another request may be sent on the connection. */
    boolean isOpen() {
        return open;
    }

    /**
     * Sends a request and reads its response. Returns false if the node has closed the connection between two requests
     * and has not read this one: it then has to be sent again, once, on a new connection.
     */
    boolean exchange(RequestKind kind, String id) throws IOException {
        String sending = name + "." + requests++;
        long sentNanos = System.nanoTime();
        String end;
        try {
            socket.setSoTimeout(kind.remainingMs() + EXTRA_READ_MS);
            socket.getOutputStream().write(Wire.head(kind, sending, id, 0));
            sentNanos = System.nanoTime();
            Wire.Message response = Wire.read(in);
            if (response != null) {
                ledger.onOrdinaryAnswer(sending, kind, sentNanos, response);
                open = !response.closesConnection();
                return true;
            }
            end = "end of the stream";
        } catch (SocketTimeoutException e) {
            open = false;
            ledger.onLost(sending, sentNanos, "no answer");
            return true;
        } catch (IOException e) {
            end = e.getMessage();
        }
        open = false;
        if (platform.isExcusedByKill(sentNanos)) {
            return true;
        }
        if (requests > 1 && !ledger.isAttempted(sending)) {
            return false;
        }
        ledger.onLost(sending, sentNanos, end);
        return true;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
