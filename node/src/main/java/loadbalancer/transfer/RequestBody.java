package loadbalancer.transfer;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;

/**
 * A request body that is too large to be buffered and is streamed from a client to a server.
 *
 * <p>The beginning of the body is retained until a part after it is forwarded. Until then the body can be replayed to
 * another server; after that the request is committed to the server that is receiving it.
 *
 * <p>A server runs a request once it has its last byte. No server gets that before the client, which has sent
 * everything, is known to be there still. The beginning of a body may be sent without knowing that: it is unknown while
 * there is more to read than the node can hold.
 *
 * <p>Owns the beginning and the backlog of parts that wait for a server; {@link #release} releases both. All methods
 * are called on the event loop.
 */
public final class RequestBody {
    /** The connection to the server that the body is streamed to. */
    public interface Sink {
        /** Writes a part without flushing it, and takes ownership of the part. */
        void write(ByteBuf part);

        /** Writes and flushes the end of the body. */
        void finish();

        /** Flushes the parts that have been written. */
        void flush();

        /** Returns whether the channel is writable, by its water marks. */
        boolean isWritable();
    }

    /** Notified of the progress of the body. */
    public interface Listener {
        /** A part after the retained beginning is being forwarded: the body can no longer be replayed. */
        void onCommitted();

        /** The server has stopped to take the body, so that the client is paused, or takes it again. */
        void onBlocked(boolean blocked);

        /**
         * The client has sent all of the body.
         *
         * @param arrivedAtNanos the earliest time at which its last byte may have arrived, by {@link System#nanoTime}
         */
        void onReceived(long arrivedAtNanos);
    }

    private final RequestSource client;
    private final long length;

    private Listener listener;
    /** The beginning of the body, which can be replayed; null once the body is committed or released. */
    private ByteBuf beginning;
    /** Parts after the beginning that have arrived while there was no sink. */
    private final ArrayDeque<ByteBuf> backlog = new ArrayDeque<>();

    private long arrivedBytes;
    private boolean received;
    /** Whether the end may be forwarded: the client was there when all of the body had been read. */
    private boolean endConfirmed;

    private boolean truncated;
    private boolean clientPaused = true;
    private boolean blocked;
    private long forwardedBytes;
    private Sink sink;

    /**
     * Creates a body without a sink and pauses the client until {@link #streamTo}.
     *
     * @param client the source
     * @param length the announced length in bytes, or -1 if the body is chunked
     * @param beginning the part that has arrived, which this body takes ownership of
     */
    public RequestBody(RequestSource client, long length, ByteBuf beginning) {
        this.client = client;
        this.length = length;
        this.beginning = beginning;
        arrivedBytes = beginning.readableBytes();
        client.pauseReading();
    }

    /** Sets the listener; to be called before any further part arrives or is forwarded. */
    public void setListener(Listener newListener) {
        listener = newListener;
    }

    /** Returns the announced length in bytes, or -1 if the body is chunked. */
    public long length() {
        return length;
    }

    /** Returns whether the body can be streamed to a server from its start: it is not committed and has no sink. */
    public boolean isReplayable() {
        return beginning != null && sink == null;
    }

    /** Returns whether a server gets the body now. */
    public boolean hasSink() {
        return sink != null;
    }

    /** Returns whether the client is paused because the server does not read fast enough. */
    public boolean isBlockedByServer() {
        return sink != null && clientPaused && !received;
    }

    /**
     * Returns the earliest time at which the client may have written the last byte of the body, by
     * {@link System#nanoTime}; of a chunked body, the next byte. Only for a body that has not been received.
     */
    public long writtenSinceNanos() {
        return client.writtenSinceNanos(length < 0 ? 1 : length - arrivedBytes);
    }

    /** Returns the number of bytes that have been read from the client. */
    public long arrivedBytes() {
        return arrivedBytes;
    }

    /** Returns the number of bytes after the beginning that have been forwarded to servers. */
    public long forwardedBytes() {
        return forwardedBytes;
    }

    // ---------------------------------------------------------------- from the client

    /** Adds the next part from the client, and takes ownership of it. */
    public void add(ByteBuf part) {
        arrivedBytes += part.readableBytes();
        if (sink == null || isLastPartInBacklog()) {
            backlog.add(part);
        } else {
            forward(part);
            updateBackpressure();
        }
    }

    /** Ends the body: the client has sent all of it, and its last byte may have arrived at this time. */
    public void end(long arrivedAtNanos) {
        received = true;
        listener.onReceived(arrivedAtNanos);
        client.whenClientConfirmed(this::confirmEnd);
    }

    private void confirmEnd() {
        endConfirmed = true;
        if (sink != null) {
            forwardBacklog();
            sink.finish();
        }
    }

    /** Returns whether the last part is held back. What ends a chunked body is not part of it. */
    private boolean isLastPartInBacklog() {
        return arrivedBytes == length && !endConfirmed;
    }

    /**
     * Ends a body whose rest was dropped, because a response had started: the client has sent all of it, and no server
     * gets its end. Its last byte may have arrived at this time.
     */
    public void endDropped(long arrivedAtNanos) {
        received = true;
        truncated = true;
        listener.onReceived(arrivedAtNanos);
    }

    /** Returns whether the body has ended without its end being forwarded to a server. */
    public boolean isTruncated() {
        return truncated || received && !endConfirmed;
    }

    /** Flushes the parts that have been forwarded. */
    public void flush() {
        if (sink != null) {
            sink.flush();
        }
    }

    // ---------------------------------------------------------------- to a server

    /** Streams the body to a server from its start. Requires {@link #isReplayable}. */
    public void streamTo(Sink server) {
        sink = server;
        blocked = false;
        sink.write(beginning.retainedDuplicate());
        forwardBacklog();
        if (endConfirmed) {
            sink.finish();
        }
        sink.flush();
        updateBackpressure();
    }

    private void forwardBacklog() {
        int keptParts = isLastPartInBacklog() ? 1 : 0;
        while (backlog.size() > keptParts) {
            forward(backlog.poll());
        }
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

    /** Pauses or resumes the client, depending on whether the server can be written to. */
    public void updateBackpressure() {
        if (sink == null || received) {
            return;
        }
        boolean pause = !sink.isWritable();
        if (pause != blocked) {
            blocked = pause;
            listener.onBlocked(blocked);
        }
        if (pause != clientPaused) {
            clientPaused = pause;
            if (pause) {
                client.pauseReading();
            } else {
                client.resumeReading();
            }
        }
    }

    /** Stops streaming to this server, if it is the sink, and pauses the client unless the body has arrived in full. */
    public void stop(Sink server) {
        if (sink == server) {
            sink = null;
            clientPaused = true;
            if (!received) {
                client.pauseReading();
            }
        }
    }

    /** Releases the beginning and the backlog, as the request has finished. */
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
