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

/** The address for operators: one call, a line, to a connection. */
public final class ControlServer {
    /** What the node does for operators. */
    public interface Operated {
        /** Whether this process can serve clients. */
        boolean serves();

        /** All figures, a line each. */
        String figures();

        /**
         * Keeps a server out, or lets it in again.
         *
         * @return after how many milliseconds all processes of the node do so
         */
        long cordon(String serverId, boolean out) throws RejectedCallException;
    }

    /** Descriptors that callers may hold, and the listener. */
    public static final int SOCKETS = 17;

    private static final int MOST_CALLERS = SOCKETS - 1;
    private static final int MOST_LINE = 1 << 10;
    /** Whoever has not made its call by then, or not read its answer, is closed. */
    private static final long MOST_CALL_MS = 3_000;

    private final EventLoop loop;
    private final Operated node;
    /** Callers, the longest connected first. */
    private final ArrayDeque<Caller> callers = new ArrayDeque<>();

    private Channel listening;

    public ControlServer(EventLoop loop, Operated node) {
        this.loop = loop;
        this.node = node;
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
                        if (callers.size() == MOST_CALLERS) {
                            // Most likely one that says nothing: it must not keep others out.
                            callers.poll().channel.close();
                        }
                        Caller caller = new Caller(channel);
                        callers.add(caller);
                        channel.pipeline().addLast(new LineBasedFrameDecoder(MOST_LINE, true, true), caller);
                    }
                })
                .bind(address);
        listening = opening.channel();
        return opening;
    }

    public void close() {
        listening.close();
        callers.forEach(caller -> caller.channel.close());
    }

    /** What is said, and in how many milliseconds. */
    private record Answer(String text, long inMs) {}

    private Answer answer(String line) {
        String[] words = line.strip().split("\\s+");
        String call = words[0];
        try {
            switch (call) {
                case "health", "counters" -> takes(words, 1);
                case "cordon", "uncordon" -> takes(words, 2);
                default -> throw new RejectedCallException("unknown call");
            }
            if (call.equals("counters")) {
                return new Answer(node.figures() + "END", 0);
            }
            if (!call.equals("health")) {
                return new Answer("YES", node.cordon(words[1], call.equals("cordon")));
            }
            if (!node.serves()) {
                throw new RejectedCallException("not serving");
            }
            return new Answer("YES", 0);
        } catch (RejectedCallException e) {
            return new Answer("NO " + e.getMessage(), 0);
        } catch (RuntimeException e) {
            Log.error("control_call_error", e, "call", call);
            return new Answer("NO defect in the node", 0);
        }
    }

    private static void takes(String[] words, int number) throws RejectedCallException {
        if (words.length != number) {
            throw new RejectedCallException(words[0] + (number == 1 ? " takes no word more" : " takes one id"));
        }
    }

    /** A caller's connection. */
    private final class Caller extends SimpleChannelInboundHandler<ByteBuf> {
        private final SocketChannel channel;
        private final Future<?> end;
        private Future<?> due;
        private boolean answered;

        Caller(SocketChannel channel) {
            this.channel = channel;
            end = loop.schedule(() -> channel.close(), MOST_CALL_MS, TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf line) {
            if (answered) {
                return;
            }
            answered = true;
            Answer answer = answer(line.toString(StandardCharsets.UTF_8));
            if (answer.inMs == 0) {
                say(answer.text);
            } else {
                due = loop.schedule(() -> say(answer.text), answer.inMs, TimeUnit.MILLISECONDS);
            }
        }

        private void say(String answer) {
            // Not closed yet: with more of the caller's unread, that would break the answer off.
            channel.writeAndFlush(Unpooled.copiedBuffer(answer + "\n", StandardCharsets.UTF_8))
                    .addListener(written -> channel.shutdownOutput());
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            end.cancel(false);
            if (due != null) {
                due.cancel(false);
            }
            callers.remove(this);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (cause instanceof TooLongFrameException && !answered) {
                answered = true;
                say("NO line too long");
            } else if (!(cause instanceof IOException) && !(cause instanceof TooLongFrameException)) {
                Log.error("control_connection_error", cause);
                channel.close();
            }
        }
    }
}
