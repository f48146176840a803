package loadbalancer.harness.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * A request whose body the server reads slowly, or whose response it writes in parts, as the target of the request
 * tells the server.
 *
 * @param framing how the end of the response is marked
 * @param beginMs when the head and the first part of the response are written, from the arrival of the request
 * @param partBytes how much of the response is written at once
 * @param pauseMs the time from one part to the next
 * @param responseBytes the length of the response, or how much of it comes if it never ends
 * @param endless whether the response never ends
 * @param bodyBytes the length of the request's body; 0 makes it a GET
 * @param readBytesPerSecond the pace at which the server reads the body
 * @param readPauseMs the time from one read to the next
 * @param readBytes how much of the body the server reads before it stops, or before it responds early
 * @param early whether it responds without reading the rest
 * @param remainingMs how long the client waits after its last byte
 * @param sendBufferBytes the client's send buffer, or 0 for what the system gives
 */
record SlowTransfer(
        Framing framing,
        int beginMs,
        int partBytes,
        int pauseMs,
        int responseBytes,
        boolean endless,
        int bodyBytes,
        int readBytesPerSecond,
        int readPauseMs,
        int readBytes,
        boolean early,
        int remainingMs,
        int sendBufferBytes) {
    /** How the end of a response is marked. */
    enum Framing {
        LENGTH,
        CHUNKED,
        CLOSE
    }

    /** The largest response that is due in full by its deadline. */
    static final int MAX_SMALL_BYTES = 64 << 10;

    private static final String PATH = "/api/transfer-";
    /** The slowest transfer of the platform's pages. */
    private static final int MIN_BYTES_PER_SECOND = 64_000;

    private static final int MAX_BYTES_PER_SECOND = 400_000;
    private static final int[] READ_PAUSES_MS = {20, 20, 200, 800};
    private static final int[] SEND_BUFFERS = {0, 0, 16 << 10, 256 << 10};
    private static final int[] BODY_BYTES = {0, 0, 0, 80_000, 300_000, 600_000, 900_000};

    /** Draws a transfer. Its class follows from whether it has a body. */
    static SlowTransfer draw(SplittableRandom random) {
        int bodyBytes = BODY_BYTES[random.nextInt(BODY_BYTES.length)];
        int remainingMs = random.nextInt(300, kind(bodyBytes).remainingMs());
        int readBytesPerSecond = random.nextInt(MIN_BYTES_PER_SECOND, MAX_BYTES_PER_SECOND);
        int readPauseMs = READ_PAUSES_MS[random.nextInt(READ_PAUSES_MS.length)];
        boolean partlyRead = bodyBytes > 0 && random.nextInt(4) == 0;
        int readBytes = partlyRead ? random.nextInt(bodyBytes) : bodyBytes;
        boolean early = partlyRead && random.nextBoolean();
        int sendBufferBytes = SEND_BUFFERS[random.nextInt(SEND_BUFFERS.length)];
        Framing framing = Framing.values()[random.nextInt(Framing.values().length)];
        if (random.nextInt(4) == 0) {
            return drawEndless(random, framing, remainingMs);
        }
        // Pauses of up to a second, and parts that keep the pace.
        int bytesPerSecond = random.nextInt(MIN_BYTES_PER_SECOND, MAX_BYTES_PER_SECOND);
        int pauseMs = 1 + (int) Math.pow(10, 2.9 * random.nextDouble());
        int partBytes = bytesPerSecond * pauseMs / 1_000;
        int responseBytes = random.nextInt(4) == 0 ? random.nextInt(1, 60_000) : random.nextInt(70_000, 250_000);
        int beginMs = random.nextInt(remainingMs - 150);
        return new SlowTransfer(
                framing,
                beginMs,
                partBytes,
                pauseMs,
                responseBytes,
                false,
                bodyBytes,
                readBytesPerSecond,
                readPauseMs,
                readBytes,
                early,
                remainingMs,
                sendBufferBytes);
    }

    /** Draws a response that never ends and does not look like a large one: slow, or silent after its start. */
    private static SlowTransfer drawEndless(SplittableRandom random, Framing framing, int remainingMs) {
        boolean slow = random.nextBoolean();
        int pauseMs = slow ? random.nextInt(50, 200) : 20;
        int partBytes = slow ? random.nextInt(1, 10 * pauseMs) : random.nextInt(1, 4_000);
        int stopBytes = slow ? MAX_SMALL_BYTES / 2 : Math.max(partBytes, random.nextInt(1, 12_000));
        Framing openEnd = framing == Framing.LENGTH ? Framing.CHUNKED : framing;
        int beginMs = random.nextInt(remainingMs - 150);
        return new SlowTransfer(
                openEnd, beginMs, partBytes, pauseMs, stopBytes, true, 0, 0, 0, 0, false, remainingMs, 0);
    }

    private static RequestKind kind(int bodyBytes) {
        return bodyBytes == 0 ? RequestKind.SEARCH : RequestKind.REPORT;
    }

    /** Returns the class of the request, with the time that this client waits. */
    RequestKind kind() {
        RequestKind kind = kind(bodyBytes);
        return new RequestKind(kind.name(), kind.idempotent(), remainingMs);
    }

    /** Returns whether the response must not be cut off once it has begun in time. */
    boolean isLarge() {
        return !endless && responseBytes > MAX_SMALL_BYTES;
    }

    /** Returns the path that tells a server what to do. */
    String path() {
        return PATH
                + String.format(
                        Locale.ROOT,
                        "%s-%d-%d-%d-%d-%b-%d-%d-%d-%d-%b-%d-%d",
                        framing,
                        beginMs,
                        partBytes,
                        pauseMs,
                        responseBytes,
                        endless,
                        bodyBytes,
                        readBytesPerSecond,
                        readPauseMs,
                        readBytes,
                        early,
                        remainingMs,
                        sendBufferBytes);
    }

    /** Returns the transfer that the target of a request tells, or null if it tells none. */
    static SlowTransfer parse(String target) {
        if (!target.startsWith(PATH)) {
            return null;
        }
        String[] words = target.substring(PATH.length(), target.indexOf('?')).split("-");
        return new SlowTransfer(
                Framing.valueOf(words[0]),
                Integer.parseInt(words[1]),
                Integer.parseInt(words[2]),
                Integer.parseInt(words[3]),
                Integer.parseInt(words[4]),
                Boolean.parseBoolean(words[5]),
                Integer.parseInt(words[6]),
                Integer.parseInt(words[7]),
                Integer.parseInt(words[8]),
                Integer.parseInt(words[9]),
                Boolean.parseBoolean(words[10]),
                Integer.parseInt(words[11]),
                Integer.parseInt(words[12]));
    }

    // ---------------------------------------------------------------- the server

    /** Reads the body at its pace, as far as it is read. Returns false if nothing is to be done with it. */
    boolean readBody(InputStream in) throws IOException, InterruptedException {
        int partBytes = Math.max(1, readBytesPerSecond * readPauseMs / 1_000);
        for (int left = readBytes; left > 0; ) {
            int read = in.readNBytes(Math.min(left, partBytes)).length;
            if (read == 0) {
                return false;
            }
            left -= read;
            Thread.sleep(readPauseMs);
        }
        boolean stops = readBytes < bodyBytes && !early;
        if (stops) {
            Thread.sleep(TimeUnit.MINUTES.toMillis(1));
        }
        return !stops;
    }

    /**
     * Writes the response.
     *
     * @param onBegun called once the head and the first part have been written
     */
    void writeResponse(Socket socket, Runnable onBegun) throws IOException, InterruptedException {
        OutputStream out = socket.getOutputStream();
        Thread.sleep(beginMs);
        byte[] head = Wire.ascii("HTTP/1.1 200 OK\r\n"
                + switch (framing) {
                    case LENGTH -> "Content-Length: " + responseBytes;
                    case CHUNKED -> "Transfer-Encoding: chunked";
                    case CLOSE -> "Connection: close";
                }
                + "\r\n\r\n");
        out.write(head);
        for (int written = 0; written < responseBytes; written += partBytes) {
            if (written > 0) {
                Thread.sleep(pauseMs);
            }
            writePart(out, Math.min(partBytes, responseBytes - written));
            if (written == 0) {
                onBegun.run();
            }
        }
        if (endless) {
            Thread.sleep(TimeUnit.MINUTES.toMillis(1));
        } else if (framing == Framing.CHUNKED) {
            out.write(Wire.ascii("0\r\n\r\n"));
        } else if (framing == Framing.CLOSE) {
            socket.shutdownOutput();
        }
    }

    private void writePart(OutputStream out, int bytes) throws IOException {
        byte[] part = new byte[bytes];
        if (framing == Framing.CHUNKED) {
            out.write(Wire.ascii(Integer.toHexString(bytes) + "\r\n"));
            out.write(part);
            out.write(Wire.ascii("\r\n"));
        } else {
            out.write(part);
        }
    }
}
