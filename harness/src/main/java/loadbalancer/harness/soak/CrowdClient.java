package loadbalancer.harness.soak;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.util.SplittableRandom;
import loadbalancer.harness.soak.SoakPlan.Crowd;

/** One client of a crowd: sends all of its requests without waiting for responses, and leaves or stays. */
final class CrowdClient {
    private static final int BUFFER_BYTES = 64 << 10;
    /** How many of its requests a client sends again after it has left. */
    private static final int MAX_RETURNING_REQUESTS = 3;

    private static final int MAX_RETURN_DELAY_MS = 200;
    private static final int HALF_CLOSED_MS = 2_000;

    private final SoakPlatform platform;
    private final RequestLedger ledger;
    private final Crowd crowd;
    private final String name;
    private final SplittableRandom random;

    CrowdClient(SoakPlatform platform, RequestLedger ledger, Crowd crowd, String name, SplittableRandom random) {
        this.platform = platform;
        this.ledger = ledger;
        this.crowd = crowd;
        this.name = name;
        this.random = random;
    }

    void run() throws IOException, InterruptedException {
        RequestLedger.ClientConnection connection = ledger.connect(name);
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), platform.port())) {
            socket.setTcpNoDelay(true);
            if (crowd.departure() == Departure.STAY) {
                stay(socket);
                return;
            }
            SoakThreads.start("crowd writer", () -> write(socket));
            SoakThreads.start(
                    "crowd reader", () -> socket.getInputStream().transferTo(OutputStream.nullOutputStream()));
            Thread.sleep(crowd.leaveAfterMs());
            ledger.leave(connection);
            leave(connection, socket);
        }
        if (crowd.returning()) {
            comeAgain();
        }
    }

    private void leave(RequestLedger.ClientConnection connection, Socket socket)
            throws IOException, InterruptedException {
        switch (crowd.departure()) {
            case RESET -> {
                socket.setSoLinger(true, 0);
                socket.close();
                ledger.closed(connection);
            }
            case HALF_CLOSE -> {
                socket.shutdownOutput();
                ledger.closed(connection);
                Thread.sleep(HALF_CLOSED_MS);
            }
            default -> {
                socket.close();
                ledger.closed(connection);
            }
        }
    }

    private RequestKind kind(int position) {
        return platform.kind(crowd.kind(position));
    }

    private String id(int position) {
        return String.format("%08x%08x", name.hashCode(), position);
    }

    private void write(Socket socket) throws IOException {
        OutputStream out = new BufferedOutputStream(socket.getOutputStream(), BUFFER_BYTES);
        byte[] body = new byte[crowd.bodyBytes()];
        for (int position = 0; position <= crowd.requestsAhead(); position++) {
            RequestKind kind = kind(position);
            byte[] head = Wire.head(kind, name + "." + position, id(position), body.length);
            int sentBytes = head.length + (kind.idempotent() ? 0 : body.length);
            if (position == crowd.requestsAhead()) {
                sentBytes -= (int) (sentBytes * crowd.unsentShare());
            }
            out.write(head, 0, Math.min(head.length, sentBytes));
            out.write(body, 0, Math.max(0, sentBytes - head.length));
        }
        out.flush();
    }

    private void stay(Socket socket) throws IOException, InterruptedException {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        write(socket);
        long sentNanos = System.nanoTime();
        int answered = 0;
        try {
            while (answered <= crowd.requestsAhead()) {
                String sending = name + "." + answered;
                Wire.Message response = Wire.read(in);
                if (response == null) {
                    throw new IOException("end of the stream");
                }
                ledger.onAnswer(sending, kind(answered), sentNanos, response);
                answered++;
                if (response.closesConnection()) {
                    return;
                }
            }
        } catch (IOException e) {
            if (!platform.isExcusedByKill(sentNanos)) {
                ledger.onLost(name + "." + answered, sentNanos, e.getMessage());
            }
        }
    }

    private void comeAgain() throws IOException, InterruptedException {
        Thread.sleep(random.nextInt(MAX_RETURN_DELAY_MS));
        try (SoakClient again = new SoakClient(platform, ledger, name + "-again")) {
            int count = Math.min(MAX_RETURNING_REQUESTS, crowd.requestsAhead() + 1);
            for (int position = 0; position < count && again.isOpen(); position++) {
                again.exchange(kind(position), id(position));
            }
        }
    }
}
