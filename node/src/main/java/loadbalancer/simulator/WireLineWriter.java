package loadbalancer.simulator;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import loadbalancer.policy.BalancerActions;

/**
 * Writes the actions of the current node's balancer as lines on the simulator's wire. The lines of a batch are buffered
 * until {@link #flush}, so that the response to a batch is written completely or not at all.
 */
final class WireLineWriter implements BalancerActions {
    private static final int INITIAL_BUFFER_BYTES = 1 << 16;
    private static final byte[] HEX_DIGITS = "0123456789abcdef".getBytes(StandardCharsets.US_ASCII);
    private static final int ID_DIGITS = 16;
    private static final int MAX_NUMBER_DIGITS = 20;
    private static final int MAX_UTF8_BYTES_PER_CHAR = 3;

    // The start of each field: the separating space, the key and the equals sign.
    private static final String NODE = " " + WireNames.NODE + "=";
    private static final String REQUEST_ID = " " + WireNames.REQUEST_ID + "=";
    private static final String ATTEMPT = " " + WireNames.ATTEMPT + "=";
    private static final String SERVER_ID = " " + WireNames.SERVER_ID + "=";
    private static final String SEND_END_BY_US = " " + WireNames.SEND_END_BY_US + "=";
    private static final String RETRY_AFTER_US = " " + WireNames.RETRY_AFTER_US + "=";
    private static final String WAKE_AT_US = " " + WireNames.WAKE_AT_US + "=";
    private static final String WAKE_LABEL = " " + WireNames.WAKE_LABEL + "=w";
    private static final String SUBSCRIBED = " " + WireNames.SUBSCRIBED + "=1";
    private static final String NOTE_TEXT = " " + WireNames.NOTE_TEXT + "=";

    private final OutputStream output;
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    private int filled;
    private String node = "";

    WireLineWriter(OutputStream output) {
        this.output = output;
    }

    /** Sets the node whose actions are written from now on. */
    void setNode(String name) {
        node = name;
    }

    /** Ends the response to a batch and writes it to the output. */
    void flush() throws IOException {
        append(WireNames.NEXT_BATCH);
        endLine();
        output.write(buffer, 0, filled);
        output.flush();
        filled = 0;
    }

    @Override
    public void send(long requestId, String serverId, long startByUs, long endByUs) {
        beginLine(WireNames.SEND);
        appendRequestId(requestId);
        append(SERVER_ID);
        append(serverId);
        append(SEND_END_BY_US);
        append(endByUs);
        endLine();
    }

    @Override
    public void cancel(long requestId, int attempt) {
        beginLine(WireNames.CANCEL);
        appendRequestId(requestId);
        append(ATTEMPT);
        append(attempt);
        endLine();
    }

    @Override
    public void reject(long requestId, long retryAfterUs) {
        beginLine(WireNames.REJECT);
        appendRequestId(requestId);
        if (retryAfterUs > 0) {
            append(RETRY_AFTER_US);
            append(retryAfterUs);
        }
        endLine();
    }

    @Override
    public void fail(long requestId) {
        beginLine(WireNames.FAIL);
        appendRequestId(requestId);
        endLine();
    }

    @Override
    public void wakeAt(long atUs) {
        beginLine(WireNames.WAKE);
        append(WAKE_AT_US);
        append(atUs);
        append(WAKE_LABEL);
        endLine();
    }

    @Override
    public void probe(String serverId) {
        writeServerAction(WireNames.PROBE, serverId);
    }

    @Override
    public void closeIdle(String serverId) {
        writeServerAction(WireNames.CLOSE_IDLE, serverId);
    }

    private void writeServerAction(String action, String serverId) {
        beginLine(action);
        append(SERVER_ID);
        append(serverId);
        endLine();
    }

    @Override
    public void subscribe() {
        beginLine(WireNames.SUBSCRIBE);
        append(SUBSCRIBED);
        endLine();
    }

    @Override
    public void ejected(String serverId, int failures, String className) {
        String ofClass = className == null ? "" : " of class " + className;
        writeNote(WireNames.NOTE, "ejected server " + serverId + " after " + failures + " failures" + ofClass);
    }

    @Override
    public void restored(String serverId, String className) {
        writeNote(WireNames.NOTE, "restored server " + serverId + (className == null ? "" : " for a class"));
    }

    /** Reports that the balancer has thrown an exception; the simulator then ends the simulation with this text. */
    void fault(String text) {
        writeNote(WireNames.FAULT, text);
    }

    private void writeNote(String action, String text) {
        beginLine(action);
        append(NOTE_TEXT);
        append(text.replace('\n', ' ').replace('\r', ' '));
        endLine();
    }

    private void beginLine(String action) {
        append(action);
        append(NODE);
        append(node);
    }

    private void endLine() {
        ensureCapacity(1);
        buffer[filled++] = '\n';
    }

    private void appendRequestId(long id) {
        append(REQUEST_ID);
        ensureCapacity(ID_DIGITS);
        for (int shift = 60; shift >= 0; shift -= 4) {
            buffer[filled++] = HEX_DIGITS[(int) (id >>> shift) & 15];
        }
    }

    private void append(String text) {
        int length = text.length();
        ensureCapacity(MAX_UTF8_BYTES_PER_CHAR * length);
        for (int i = 0; i < length; i++) {
            char c = text.charAt(i);
            if (c >= 128) {
                byte[] rest = text.substring(i).getBytes(StandardCharsets.UTF_8);
                System.arraycopy(rest, 0, buffer, filled, rest.length);
                filled += rest.length;
                return;
            }
            buffer[filled++] = (byte) c;
        }
    }

    private void append(long value) {
        if (value < 0) {
            append(Long.toString(value));
            return;
        }
        ensureCapacity(MAX_NUMBER_DIGITS);
        int digits = 1;
        for (long v = value; v >= 10; v /= 10) {
            digits++;
        }
        int at = filled + digits;
        filled = at;
        long v = value;
        do {
            buffer[--at] = (byte) ('0' + v % 10);
            v /= 10;
        } while (v > 0);
    }

    private void ensureCapacity(int bytes) {
        if (filled + bytes > buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.max(2 * buffer.length, filled + bytes));
        }
    }
}
