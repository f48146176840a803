package loadbalancer.transfer;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;

/**
 * A request's body that is too large to be gathered, on its way from a client to a server. Its beginning is
 * held until more than that has gone on: up to then another server can have it from the start.
 */
public final class RequestBody {
    /** Where it goes to. */
    public interface Sink {
        /** Takes a part over. */
        void write(ByteBuf part);

        /** All has been written. */
        void finish();

        void flush();

        boolean isWritable();
    }

    /** Who follows it. */
    public interface Listener {
        /** More has gone to a server than is still held here: no other can have it from the start. */
        void bound();

        /** The client has sent all of it. */
        void whole();
    }

    private final FlowControl client;
    /** What it says of its length, or -1 where it comes in chunks. */
    private final long length;

    private Listener listener;
    private ByteBuf beginning;
    /** What came behind the beginning before a server was there to take it. */
    private final ArrayDeque<ByteBuf> behind = new ArrayDeque<>();

    private boolean whole;
    private boolean heldBack = true;
    private long passed;
    private Sink sink;

    /** Takes the beginning over; nothing more is read from the client until a server takes it. */
    public RequestBody(FlowControl client, long length, ByteBuf beginning) {
        this.client = client;
        this.length = length;
        this.beginning = beginning;
        client.pauseReading();
    }

    public void follow(Listener by) {
        listener = by;
    }

    public long length() {
        return length;
    }

    boolean isWhole() {
        return whole;
    }

    /** Whether a server can have it from the start. */
    public boolean isFree() {
        return beginning != null && sink == null;
    }

    /** Whether it is the server that keeps it from going on. */
    public boolean awaitsServer() {
        return sink != null && heldBack && !whole;
    }

    /** The client's next part, which is taken over. */
    public void add(ByteBuf part) {
        if (sink == null) {
            behind.add(part);
        } else {
            pass(part);
            keepPace();
        }
    }

    /** The client has sent all. */
    public void end() {
        whole = true;
        if (sink != null) {
            sink.finish();
        }
        listener.whole();
    }

    /** Flushes what has been written to the server. */
    public void flush() {
        if (sink != null) {
            sink.flush();
        }
    }

    /** A server takes it, from the start. */
    public void flowTo(Sink to) {
        sink = to;
        sink.write(beginning.retainedDuplicate());
        while (!behind.isEmpty()) {
            pass(behind.poll());
        }
        if (whole) {
            sink.finish();
        }
        sink.flush();
        keepPace();
    }

    private void pass(ByteBuf part) {
        if (beginning != null) {
            beginning.release();
            beginning = null;
            listener.bound();
        }
        passed += part.readableBytes();
        sink.write(part);
    }

    /** How much has gone to servers. */
    public long passed() {
        return passed;
    }

    /** Reads from the client as long as the server takes what is read. */
    public void keepPace() {
        if (sink == null || whole) {
            return;
        }
        boolean hold = !sink.isWritable();
        if (hold != heldBack) {
            heldBack = hold;
            if (hold) {
                client.pauseReading();
            } else {
                client.resumeReading();
            }
        }
    }

    /** The server takes no more of it. */
    public void stop(Sink from) {
        if (sink == from) {
            sink = null;
            heldBack = true;
            if (!whole) {
                client.pauseReading();
            }
        }
    }

    /** Nobody wants it any more. */
    public void release() {
        sink = null;
        if (beginning != null) {
            beginning.release();
            beginning = null;
        }
        behind.forEach(ByteBuf::release);
        behind.clear();
    }
}
