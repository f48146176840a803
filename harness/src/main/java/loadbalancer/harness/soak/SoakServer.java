package loadbalancer.harness.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** An app server with a thread for each connection. Its mode may change at any time. */
final class SoakServer implements AutoCloseable {
    private static final int BACKLOG = 512;
    private static final int WORK_MS = 15;
    private static final int LATE_REJECTION_MS = 500;
    private static final int MODE_POLL_MS = 20;
    private static final byte[] REJECTION = Wire.response("503 Service Unavailable", "X-Turned-Away: 1\r\n", "");

    private final String id;
    private final RequestLedger ledger;
    private final ServerSocket listener;
    private final Queue<Socket> sockets = new ConcurrentLinkedQueue<>();
    private final AtomicInteger connections = new AtomicInteger();
    private volatile ServerMode mode = ServerMode.SERVE;

    SoakServer(String id, RequestLedger ledger) throws IOException {
        this.id = id;
        this.ledger = ledger;
        listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        SoakThreads.start("server " + id, this::accept);
    }

    /** Returns the entry of the endpoint list. */
    String entry(String zone) {
        return "{\"uid\":\"" + id + "\",\"endpoint\":\"127.0.0.1:" + listener.getLocalPort() + "\",\"az\":\"" + zone
                + "\",\"model\":\"m\",\"pod_group\":0,\"state\":\"Ready\",\"capacity_hint\":1.0,\"boot_ms\":0}";
    }

    void setMode(ServerMode next) {
        mode = next;
    }

    /** Returns how many connections were opened to it. */
    int connections() {
        return connections.get();
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = listener.accept();
            socket.setTcpNoDelay(true);
            connections.incrementAndGet();
            sockets.add(socket);
            SoakThreads.start("connection of " + id, () -> {
                try (socket) {
                    serve(socket);
                } finally {
                    sockets.remove(socket);
                }
            });
        }
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        while (!awaitEndOfSilence()) {
            Wire.Message request = Wire.readHead(in);
            if (request == null || mode == ServerMode.READ_NOTHING) {
                return;
            }
            SlowTransfer transfer = SlowTransfer.parse(request.target());
            if (!(transfer == null ? serveAtOnce(request, in, socket) : serveSlowly(transfer, request, in, socket))) {
                return;
            }
        }
    }

    private boolean serveAtOnce(Wire.Message request, InputStream in, Socket socket)
            throws IOException, InterruptedException {
        Wire.readBody(in, request.headers());
        ledger.onAttempt(request.sending(), request.firstByteNanos(), id);
        return respond(request, socket);
    }

    /** Serves a transfer, unless the mode rejects it. Returns whether the connection may be used again. */
    private boolean serveSlowly(SlowTransfer transfer, Wire.Message request, InputStream in, Socket socket)
            throws IOException, InterruptedException {
        if (!transfer.readBody(in)) {
            return false;
        }
        if (!transfer.early()) {
            ledger.onAttempt(request.sending(), request.firstByteNanos(), id);
        }
        if (mode != ServerMode.SERVE) {
            return respond(request, socket);
        }
        if (!transfer.early()) {
            ledger.onRun(request.sending(), transfer.bodyBytes() == 0);
        }
        transfer.writeResponse(socket, () -> ledger.onResponseBegun(request.sending()));
        if (transfer.early()) {
            // A close over unread bytes would reset the connection, and the response with it.
            in.transferTo(OutputStream.nullOutputStream());
            return false;
        }
        return transfer.framing() != SlowTransfer.Framing.CLOSE;
    }

    /** Returns whether nothing was to be read for a while, after which the connection has to be closed. */
    private boolean awaitEndOfSilence() throws InterruptedException {
        boolean silent = false;
        while (mode == ServerMode.READ_NOTHING) {
            silent = true;
            Thread.sleep(MODE_POLL_MS);
        }
        return silent;
    }

    private boolean respond(Wire.Message request, Socket socket) throws IOException, InterruptedException {
        switch (mode) {
            case REJECT_AT_ONCE -> socket.getOutputStream().write(REJECTION);
            case REJECT_LATE -> {
                Thread.sleep(LATE_REJECTION_MS);
                socket.getOutputStream().write(REJECTION);
            }
            case CLOSE, READ_NOTHING -> {
                return false;
            }
            default -> {
                ledger.onRun(request.sending(), request.startLine().startsWith("GET "));
                Thread.sleep(WORK_MS);
                socket.getOutputStream().write(Wire.response("200 OK", "", request.sending()));
            }
        }
        return true;
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
