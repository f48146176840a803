package loadbalancer.harness.soak;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** HTTP/1.1 messages as clients and servers of the soak write and read them. */
final class Wire {
    /** About as long as the head of a request is. */
    static final int HEAD_BYTES = 170;

    private static final String SENDING_PARAMETER = "?sending=";

    /**
     * A message that has been read.
     *
     * @param startLine its first line
     * @param headers by name in lower case
     * @param body its body
     * @param firstByteNanos when its first byte was read, by {@link System#nanoTime}
     */
    record Message(String startLine, Map<String, String> headers, byte[] body, long firstByteNanos) {
        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        /** Returns which sending of a request this is, from its target. */
        String sending() {
            String target = startLine.split(" ")[1];
            return target.substring(target.indexOf(SENDING_PARAMETER) + SENDING_PARAMETER.length());
        }

        String target() {
            return startLine.split(" ")[1];
        }

        String text() {
            return new String(body, StandardCharsets.US_ASCII);
        }

        boolean closesConnection() {
            return "close".equalsIgnoreCase(headers.get("connection"));
        }
    }

    private Wire() {}

    /** Returns the head of a request. Each sending of a request has its own target and may share its id. */
    static byte[] head(RequestKind kind, String sending, String id, int bodyBytes) {
        return head(kind, "/api/k" + id.hashCode() % 97, sending, id, bodyBytes);
    }

    /** Returns the head of a request for this path. */
    static byte[] head(RequestKind kind, String path, String sending, String id, int bodyBytes) {
        String method = kind.idempotent() ? "GET" : "POST";
        String length = kind.idempotent() ? "" : "Content-Length: " + bodyBytes + "\r\n";
        return ascii(method + " " + path + SENDING_PARAMETER + sending
                + " HTTP/1.1\r\nHost: backend.local\r\nX-Txn: " + id + "\r\nX-Lane: " + kind.name()
                + "\r\nX-Remaining: " + kind.remainingMs() + "m\r\n" + length + "\r\n");
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    static byte[] response(String status, String headers, String body) {
        return ascii(String.format(
                Locale.ROOT, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, body.length(), body));
    }

    /** Reads a message; returns null if the stream ends before its first byte. */
    static Message read(InputStream in) throws IOException {
        Message head = readHead(in);
        return head == null
                ? null
                : new Message(head.startLine, head.headers, readBody(in, head.headers), head.firstByteNanos);
    }

    /** Reads a message up to its body; returns null if the stream ends before its first byte. */
    static Message readHead(InputStream in) throws IOException {
        int first = in.read();
        if (first < 0) {
            return null;
        }
        long firstByteNanos = System.nanoTime();
        String startLine = (char) first + readLine(in);
        Map<String, String> headers = new HashMap<>();
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        return new Message(startLine, headers, new byte[0], firstByteNanos);
    }

    /** Reads the body behind a head. */
    static byte[] readBody(InputStream in, Map<String, String> headers) throws IOException {
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            return readChunks(in);
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("the stream ends within a body");
        }
        return body;
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        int length = Integer.parseInt(readLine(in), 16);
        while (length > 0) {
            byte[] chunk = in.readNBytes(length);
            if (chunk.length < length) {
                throw new EOFException("the stream ends within a chunk");
            }
            body.write(chunk);
            readLine(in);
            length = Integer.parseInt(readLine(in), 16);
        }
        readLine(in);
        return body.toByteArray();
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("the stream ends within a head");
            }
            line.write(next);
        }
        return line.toString(StandardCharsets.US_ASCII).stripTrailing();
    }
}
