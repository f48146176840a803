package loadbalancer.admin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import loadbalancer.common.Log;
import loadbalancer.transfer.TransferLimits;

/**
 * The server at the control address. Each connection of an operator carries one call, which is one line, and its
 * response. Used on the event loop of the node only, except for {@link #listen}, which any thread may call.
 */
public final class ControlServer {
    private static final int MAX_CONNECTIONS = 16;
    /** As many as this close in a turn of the event loop to make room, and have their descriptors until the next. */
    private static final int MAX_ACCEPTS_PER_TURN = 4;
    /**
     * The maximum number of file descriptors that the server holds: its connections, those that are closing, and its
     * listening socket.
     */
    public static final int MAX_SOCKETS = MAX_CONNECTIONS + MAX_ACCEPTS_PER_TURN + 1;

    private static final int MAX_LINE_BYTES = 1 << 10;
    /** The maximum lifetime of a connection, whether or not its call has been received and its response been read. */
    private static final long CONNECTION_TIMEOUT_MILLIS = 3_000;

    private final EventLoop loop;
    private final ControlCallHandler callHandler;
    /** The open connections, oldest first. */
    private final ArrayDeque<Connection> connections = new ArrayDeque<>();

    private Channel listener;

    public ControlServer(EventLoop loop, NodeOperations node) {
        this.loop = loop;
        callHandler = new ControlCallHandler(node);
    }

    /** Listens on the given address; the future completes when operators can connect. */
    public ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture bindFuture = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(MAX_ACCEPTS_PER_TURN))
                .childOption(ChannelOption.ALLOCATOR, TransferLimits.ALLOCATOR)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        accept(channel);
                    }
                })
                .bind(address);
        listener = bindFuture.channel();
        return bindFuture;
    }

    private void accept(SocketChannel channel) {
        if (connections.size() == MAX_CONNECTIONS) {
            // The oldest connection is most likely idle; it must not prevent other operators from connecting.
            connections.poll().channel.close();
        }
        Connection connection = new Connection(channel);
        connections.add(connection);
        channel.pipeline().addLast(new LineBasedFrameDecoder(MAX_LINE_BYTES, true, true), connection);
    }

    /** Stops listening and closes all connections. Must be called after {@link #listen}. */
    public void close() {
        listener.close();
        connections.forEach(connection -> connection.channel.close());
    }

    /** The connection of an operator. */
    private final class Connection extends SimpleChannelInboundHandler<ByteBuf> {
        private final SocketChannel channel;
        private final Future<?> timeout;
        /** The task that writes a delayed response; null if there is none. */
        private Future<?> delayedResponse;

        private boolean callReceived;

        Connection(SocketChannel channel) {
            this.channel = channel;
            timeout = loop.schedule(() -> channel.close(), CONNECTION_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf line) {
            if (callReceived) {
                return;
            }
            callReceived = true;
            ControlResponse response = callHandler.handle(line.toString(StandardCharsets.UTF_8));
            if (response.delayMillis() == 0) {
                write(response);
            } else {
                delayedResponse = loop.schedule(() -> write(response), response.delayMillis(), TimeUnit.MILLISECONDS);
            }
        }

        private void write(ControlResponse response) {
            // Shuts down the output only: closing the socket while received bytes are unread would reset the
            // connection, and the operator could lose the response.
            channel.writeAndFlush(Unpooled.copiedBuffer(response.text() + "\n", StandardCharsets.UTF_8))
                    .addListener(written -> channel.shutdownOutput());
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            timeout.cancel(false);
            if (delayedResponse != null) {
                delayedResponse.cancel(false);
            }
            connections.remove(this);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (cause instanceof TooLongFrameException) {
                if (!callReceived) {
                    callReceived = true;
                    write(ControlResponse.rejected("line too long"));
                }
            } else if (!(cause instanceof IOException)) {
                Log.error("control_connection_error", cause);
                channel.close();
            }
        }
    }
}
