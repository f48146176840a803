package loadbalancer.transfer;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;

/**
 * A request's body that is too large to be buffered, streamed from a client to a server.
 *
 * <p>Its beginning is retained until a part beyond it has been forwarded. Up to then the body can be replayed to
 * another server; from then on the request is committed to the server that has it.
 *
 * <p>It owns the beginning and the parts that wait for a server; {@link #release} drops both. Runs on the event loop.
 */
public final class RequestBody {
    /** The server that the body is streamed to. */
    public interface Sink {
        /** Writes a part and takes it over. */
        void write(ByteBuf part);

        /** Writes the end of the body. */
        void finish();

        /** Flushes what has been written. */
        void flush();

        /** Whether more can be written without piling up. */
        boolean isWritable();
    }

    /** Follows the progress of the body. */
    public interface Listener {
        /** More has been forwarded than is retained: the body can't be replayed to another server. */
        void onCommitted();

        /** The client has sent all of it. */
        void onReceived();
    }

    private final FlowControl client;
    private final long length;

    private Listener listener;
    /** What can be replayed; null once the body is committed. */
    private ByteBuf beginning;
    /** What has arrived behind the beginning while no server took it. */
    private final ArrayDeque<ByteBuf> backlog = new ArrayDeque<>();

    private boolean received;
    private boolean clientPaused = true;
    private long forwardedBytes;
    private Sink sink;

    /**
     * Creates a body that waits for a server, and pauses the client until one takes it.
     *
     * @param client the source
     * @param length the announced length, or -1 where the body comes in chunks
     * @param beginning what has arrived, taken over
     */
    public RequestBody(FlowControl client, long length, ByteBuf beginning) {
        this.client = client;
        this.length = length;
        this.beginning = beginning;
        client.pauseReading();
    }

    /** Sets who follows the progress; before the body goes on. */
    public void setListener(Listener newListener) {
        listener = newListener;
    }

    /** The announced length, or -1 where the body comes in chunks. */
    public long length() {
        return length;
    }

    /** Whether a server can be given the body from the start. */
    public boolean isReplayable() {
        return beginning != null && sink == null;
    }

    /** Whether it is the server that keeps the body from going on. */
    public boolean isBlockedByServer() {
        return sink != null && clientPaused && !received;
    }

    /** How much has been forwarded to servers. */
    public long forwardedBytes() {
        return forwardedBytes;
    }

    // ---------------------------------------------------------------- from the client

    /** Adds the client's next part and takes it over. */
    public void add(ByteBuf part) {
        if (sink == null) {
            backlog.add(part);
        } else {
            forward(part);
            updateBackpressure();
        }
    }

    /** The client has sent all of the body. */
    public void end() {
        received = true;
        if (sink != null) {
            sink.finish();
        }
        listener.onReceived();
    }

    /** Flushes what has been forwarded. */
    public void flush() {
        if (sink != null) {
            sink.flush();
        }
    }

    // ---------------------------------------------------------------- to a server

    /** Streams the body to a server, from the start; only where {@link #isReplayable}. */
    public void streamTo(Sink server) {
        sink = server;
        sink.write(beginning.retainedDuplicate());
        while (!backlog.isEmpty()) {
            forward(backlog.poll());
        }
        if (received) {
            sink.finish();
        }
        sink.flush();
        updateBackpressure();
    }

    private void forward(ByteBuf part) {
        if (beginning != null) {
            beginning.release();
            beginning = null;
            listener.onCommitted();
        }
        forwardedBytes += part.readableBytes();
        sink.write(part);
    }

    /** Reads from the client only while the server takes what is read. */
    public void updateBackpressure() {
        if (sink == null || received) {
            return;
        }
        boolean pause = !sink.isWritable();
        if (pause != clientPaused) {
            clientPaused = pause;
            if (pause) {
                client.pauseReading();
            } else {
                client.resumeReading();
            }
        }
    }

    /** Stops streaming to a server, if it is the one that has the body. */
    public void stop(Sink server) {
        if (sink == server) {
            sink = null;
            clientPaused = true;
            if (!received) {
                client.pauseReading();
            }
        }
    }

    /** Drops all that is retained: nobody wants the body any more. */
    public void release() {
        sink = null;
        if (beginning != null) {
            beginning.release();
            beginning = null;
        }
        backlog.forEach(ByteBuf::release);
        backlog.clear();
    }
}
