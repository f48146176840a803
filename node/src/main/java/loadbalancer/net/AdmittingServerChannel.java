package loadbalancer.net;

import io.netty.channel.ChannelException;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.List;

/**
 * A listening socket that accepts a connection only when its {@link Admission} allows it. A connection that is not
 * admitted waits in the listen queue, where it takes no descriptor of the process.
 */
public final class AdmittingServerChannel extends NioServerSocketChannel {
    /** Decides whether connections are accepted. All methods are called on the event loop. */
    public interface Admission {
        /** Returns whether one more connection may be accepted. Asked before each accept. */
        boolean admits();

        /** A connection has been accepted. */
        void onAccepted(NioSocketChannel channel);

        /** No connection waits: all have been accepted. */
        void onQueueEmpty();

        /** The system could not accept a connection that may still be waiting. */
        void onAcceptFailed(IOException cause);
    }

    /** Accepts the next connection that waits. */
    @FunctionalInterface
    public interface Acceptor {
        /** Returns the connection, or null if none waits. */
        SocketChannel accept() throws IOException;
    }

    private static final int NOTHING_ACCEPTED = 0;

    private final Admission admission;
    private final Acceptor acceptor;

    /** Opens a socket that is not bound yet. */
    public AdmittingServerChannel(Admission admission) {
        this.admission = admission;
        acceptor = javaChannel()::accept;
    }

    /** Uses a socket that is open. */
    public AdmittingServerChannel(ServerSocketChannel socket, Admission admission) {
        this(socket, admission, socket::accept);
    }

    /** Uses a socket that is open, and another way to accept than its own. */
    public AdmittingServerChannel(ServerSocketChannel socket, Admission admission, Acceptor acceptor) {
        super(socket);
        this.admission = admission;
        this.acceptor = acceptor;
    }

    /** Accepts at most one connection. Returns the number that has been added to the list. */
    @Override
    protected int doReadMessages(List<Object> accepted) {
        if (!admission.admits()) {
            return NOTHING_ACCEPTED;
        }
        SocketChannel socket;
        try {
            socket = acceptor.accept();
        } catch (IOException e) {
            admission.onAcceptFailed(e);
            return NOTHING_ACCEPTED;
        }
        if (socket == null) {
            admission.onQueueEmpty();
            return NOTHING_ACCEPTED;
        }
        NioSocketChannel channel = open(socket);
        if (channel == null) {
            return NOTHING_ACCEPTED;
        }
        admission.onAccepted(channel);
        accepted.add(channel);
        return 1;
    }

    /** Returns the channel of a socket; null if the socket cannot be used, which is closed then. */
    private NioSocketChannel open(SocketChannel socket) {
        try {
            return new NioSocketChannel(this, socket);
        } catch (ChannelException e) {
            // The channel has closed the socket.
            admission.onAcceptFailed(new IOException(e));
            return null;
        }
    }
}
