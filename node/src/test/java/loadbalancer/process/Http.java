package loadbalancer.process;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads and builds HTTP/1.1 messages for the clients and servers of a node under test. */
public final class Http {
    private Http() {}

    /** A message. Header names are in lower case. */
    public record Message(String startLine, Map<String, String> headers, String body) {
        public int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        public String path() {
            return startLine.split(" ")[1];
        }
    }

    /** Reads a message with its body. */
    public static Message readMessage(InputStream in) throws IOException {
        Message head = readHead(in);
        return new Message(head.startLine, head.headers, new String(readBody(in, head), StandardCharsets.ISO_8859_1));
    }

    /** Reads the head of a message. */
    static Message readHead(InputStream in) throws IOException {
        String startLine = readLine(in);
        Map<String, String> headers = new TreeMap<>();
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        return new Message(startLine, headers, "");
    }

    static byte[] readBody(InputStream in, Message head) throws IOException {
        if ("chunked".equals(head.headers.get("transfer-encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            int length;
            do {
                length = Integer.parseInt(readLine(in).split(";")[0], 16);
                body.writeBytes(readExactly(in, length));
            } while (length > 0 && readLine(in).isEmpty());
            while (length == 0 && !readLine(in).isEmpty()) {
                // Skips the trailer.
            }
            return body.toByteArray();
        }
        return readExactly(in, Integer.parseInt(head.headers.getOrDefault("content-length", "0")));
    }

    private static byte[] readExactly(InputStream in, int length) throws IOException {
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("truncated message");
        }
        return body;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new EOFException("connection closed");
            }
            line.write(b);
        }
        return line.toString(StandardCharsets.UTF_8).stripTrailing();
    }

    public static String okResponse(String body) {
        return response("200 OK", "", body);
    }

    public static String response(String status, String headers, String body) {
        return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    public static String pageRequest(String txn) {
        return pageRequest("/api/page", txn, "400m");
    }

    public static String pageRequest(String uri, String txn, String remaining) {
        return "GET " + uri + " HTTP/1.1\r\nHost: backend.local\r\nX-Txn: " + txn
                + "\r\nX-Lane: page\r\nX-Org: org\r\nX-Remaining: " + remaining + "\r\n\r\n";
    }

    public static String orderRequest(String txn, String remaining) {
        return "POST /api/order HTTP/1.1\r\nHost: backend.local\r\nX-Txn: " + txn
                + "\r\nX-Lane: order\r\nX-Org: org\r\nX-Remaining: " + remaining
                + "\r\nContent-Length: 2\r\n\r\nab";
    }
}
