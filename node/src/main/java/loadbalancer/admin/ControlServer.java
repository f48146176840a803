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
 * The server at the control address: accepts operators' connections, each of which carries one call, a line, and its
 * answer. Runs on the event loop of the node; {@link #listen} may be called from any thread.
 */
public final class ControlServer {
    private static final int MAX_CONNECTIONS = 16;
    /** File descriptors that the server may hold: its connections, and the one that it listens on. */
    public static final int MAX_SOCKETS = MAX_CONNECTIONS + 1;

    private static final int MAX_LINE_BYTES = 1 << 10;
    /** After so long a connection is closed, whether its call has come and its answer has been read or not. */
    private static final long CONNECTION_TIMEOUT_MILLIS = 3_000;

    private final EventLoop loop;
    private final ControlCallHandler callHandler;
    /** The open connections, the oldest first. */
    private final ArrayDeque<Connection> connections = new ArrayDeque<>();

    private Channel listener;

    public ControlServer(EventLoop loop, NodeOperations node) {
        this.loop = loop;
        callHandler = new ControlCallHandler(node);
    }

    /** Listens on this address; the future is done once operators can connect. */
    public ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture opening = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.ALLOCATOR, TransferLimits.ALLOCATOR)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        accept(channel);
                    }
                })
                .bind(address);
        listener = opening.channel();
        return opening;
    }

    private void accept(SocketChannel channel) {
        if (connections.size() == MAX_CONNECTIONS) {
            // The oldest most likely stays silent. It must not keep other operators out.
            connections.poll().channel.close();
        }
        Connection connection = new Connection(channel);
        connections.add(connection);
        channel.pipeline().addLast(new LineBasedFrameDecoder(MAX_LINE_BYTES, true, true), connection);
    }

    /** Stops listening and closes all connections. */
    public void close() {
        listener.close();
        connections.forEach(connection -> connection.channel.close());
    }

    /** An operator's connection. */
    private final class Connection extends SimpleChannelInboundHandler<ByteBuf> {
        private final SocketChannel channel;
        private final Future<?> timeout;
        /** Writes an answer that is delayed; null if none is. */
        private Future<?> delayedAnswer;

        private boolean called;

        Connection(SocketChannel channel) {
            this.channel = channel;
            timeout = loop.schedule(() -> channel.close(), CONNECTION_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf line) {
            if (called) {
                return;
            }
            called = true;
            ControlAnswer answer = callHandler.handle(line.toString(StandardCharsets.UTF_8));
            if (answer.delayMillis() == 0) {
                write(answer);
            } else {
                delayedAnswer = loop.schedule(() -> write(answer), answer.delayMillis(), TimeUnit.MILLISECONDS);
            }
        }

        private void write(ControlAnswer answer) {
            // Only the output is shut down: a close while bytes of the caller are unread would reset the connection,
            // and the caller could lose the answer.
            channel.writeAndFlush(Unpooled.copiedBuffer(answer.text() + "\n", StandardCharsets.UTF_8))
                    .addListener(written -> channel.shutdownOutput());
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            timeout.cancel(false);
            if (delayedAnswer != null) {
                delayedAnswer.cancel(false);
            }
            connections.remove(this);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (cause instanceof TooLongFrameException) {
                if (!called) {
                    called = true;
                    write(ControlAnswer.rejected("line too long"));
                }
            } else if (!(cause instanceof IOException)) {
                Log.error("control_connection_error", cause);
                channel.close();
            }
        }
    }
}
