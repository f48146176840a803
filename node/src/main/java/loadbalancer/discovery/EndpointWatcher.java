package loadbalancer.discovery;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import loadbalancer.common.Log;
import loadbalancer.config.NodeConfig;
import loadbalancer.http.StrictClientCodec;
import loadbalancer.net.SocketAddresses;
import loadbalancer.policy.ServerState;
import loadbalancer.transfer.TransferLimits;

/**
 * The watch on discovery's list. When it breaks it says so. Asking again is the module's word where the list
 * must be asked for; where changes are pushed, as the settings call it, the watch is what they come by and
 * is kept open here.
 *
 * <p>Versions only grow. Where discovery has moved, the watch at the old address goes on beside the new one
 * until that has caught up, and an agent that lags behind what is known is heard only once it is past it:
 * else a server that the node was told to leave alone would be used again.
 */
public final class EndpointWatcher {
    /** What the watch tells. */
    public interface Listener {
        void listed(EndpointList list);

        void failed(String reason);
    }

    /**
     * What is borne of a watch.
     *
     * @param firstWordUs its silence until it says its first word
     * @param silenceUs its silence from then on
     * @param lagUs that it tells of less than is known; from then on what it has is all that is to be had
     */
    public record Patience(long firstWordUs, long silenceUs, long lagUs) {
        /**
         * Discovery answers at once and writes every 2 s. What it has to tell counts as told 6 s later, 4 s
         * after a move: by then a watch has to be found silent, and another one opened and heard.
         */
        public static final Patience USUAL = new Patience(1_500_000, 4_500_000, 6_000_000);
    }

    private static final int CONNECT_TIMEOUT_MS = 2_000;
    /** First wait before a kept watch is opened again, doubled with each failure, and the longest. */
    private static final long BACKOFF_MS = 50;

    private static final long MOST_BACKOFF_MS = 1_000;
    /** Where there are many nodes the longest wait grows, so that together they ask ten times a second. */
    private static final long MOST_BACKOFF_MS_A_NODE = 100;
    /** Whatever there is to tell counts as told after 6 s: half of that leaves time to hear it. */
    private static final long LONGEST_MS = 3_000;
    /**
     * In bytes: 19,000 servers, indented, take about 6 MB. A line without an end must not fill the memory.
     */
    private static final int MOST_LINE = 8 << 20;

    private final EventLoop loop;
    private final EndpointListDecoder decoder;
    private final Patience patience;
    private final Listener listener;
    private final Bootstrap dialer;
    private final SplittableRandom random;
    private final int nodes;
    private final ObjectMapper json = new ObjectMapper();
    private InetSocketAddress address;
    private long rev;
    private Watch current;
    /** The watch at the address before the last move, until the current one has caught up; null if none. */
    private Watch former;

    private boolean kept;
    private long backoffMs = BACKOFF_MS;
    private Future<?> again;

    /** A watch that is not open yet. */
    public EndpointWatcher(EventLoop loop, NodeConfig config, Patience patience, Listener listener) {
        this.loop = loop;
        this.patience = patience;
        this.listener = listener;
        address = config.discoveryAddress();
        decoder = new EndpointListDecoder(config.settings().zones);
        rev = config.initialEndpoints().version();
        nodes = config.settings().nodes;
        random = new SplittableRandom(config.seed());
        dialer = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.ALLOCATOR, TransferLimits.ALLOCATOR)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(new StrictClientCodec());
                    }
                });
    }

    /** Keeps a watch open from now on. */
    public void keepSubscribed() {
        kept = true;
        subscribe();
    }

    /** Discovery has moved: a watch that is open, or about to be opened again, goes on there at once. */
    public void moveTo(InetSocketAddress to) {
        boolean moved = !to.equals(address);
        address = to;
        if (moved && (kept || current != null)) {
            // Of two moves in a row, the watch that has spoken goes on; the one amid the two never has.
            if (current != null && current.told) {
                endFormer();
                former = current;
                current = null;
            }
            backoffMs = BACKOFF_MS;
            subscribe();
        }
    }

    /** Ends the watch and opens no other. */
    public void close() {
        kept = false;
        endCurrent();
        endFormer();
    }

    private void endFormer() {
        if (former != null) {
            former.end();
            former = null;
        }
    }

    private void endCurrent() {
        if (again != null) {
            again.cancel(false);
        }
        if (current != null) {
            current.end();
            current = null;
        }
    }

    private void openAgain() {
        long waitMs = jittered(backoffMs, random.nextDouble());
        again = loop.schedule(this::subscribe, waitMs, TimeUnit.MILLISECONDS);
        backoffMs = Math.min(mostBackoffMs(nodes), 2 * backoffMs);
    }

    /** Nodes that lost discovery together must not come back to it together, time after time. */
    static long jittered(long backoffMs, double chance) {
        return (long) (backoffMs * (0.5 + chance / 2));
    }

    static long mostBackoffMs(int nodes) {
        return Math.min(LONGEST_MS, Math.max(MOST_BACKOFF_MS, nodes * MOST_BACKOFF_MS_A_NODE));
    }

    /** Opens a watch for all that changed since the last list; it takes the place of an earlier one. */
    public void subscribe() {
        endCurrent();
        Watch watch = new Watch();
        current = watch;
        Log.info("watch_opened", "address", SocketAddresses.format(address), "after_version", rev);
        ChannelFuture opening = dialer.connect(address);
        watch.channel = opening.channel();
        watch.expectMore(patience.firstWordUs);
        opening.addListener(done -> {
            if (!done.isSuccess()) {
                watch.broken("no connection: " + done.cause().getMessage());
                return;
            }
            watch.channel.pipeline().addLast(watch);
            FullHttpRequest ask = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1, HttpMethod.GET, "/discovery/hosts?watch=1&after=" + rev);
            ask.headers().set(HttpHeaderNames.HOST, "discovery");
            watch.channel.writeAndFlush(ask);
        });
    }

    private static void logList(EndpointList list, boolean firstOfWatch) {
        int[] counts = new int[ServerState.values().length];
        for (Endpoint endpoint : list.endpoints()) {
            counts[endpoint.server().state().ordinal()]++;
        }
        Log.info(
                "endpoint_list",
                "version",
                list.version(),
                "kind",
                list.full() ? "full" : "changes",
                "first_of_watch",
                firstOfWatch,
                "ready",
                counts[ServerState.READY.ordinal()],
                "draining",
                counts[ServerState.DRAINING.ordinal()],
                "gone",
                counts[ServerState.GONE.ordinal()]);
    }

    private final class Watch extends SimpleChannelInboundHandler<HttpObject> {
        private final ByteArrayOutputStream line = new ByteArrayOutputStream();
        private final JsonDocumentFramer brackets = new JsonDocumentFramer();
        private Channel channel;
        private Future<?> silence;
        private boolean over;
        private boolean told;
        /** Since when it tells less than is known; 0 while it does not. */
        private long lagsSinceNanos;

        private void expectMore(long withinUs) {
            if (silence != null) {
                silence.cancel(false);
            }
            silence = loop.schedule(() -> broken("silent"), withinUs, TimeUnit.MICROSECONDS);
        }

        /** Ends without a word. */
        void end() {
            over = true;
            silence.cancel(false);
            channel.close();
        }

        private void broken(String reason) {
            if (over) {
                return;
            }
            end();
            if (this == former) {
                // As it should once discovery has moved.
                former = null;
            } else {
                current = null;
                listener.failed(reason);
                if (kept) {
                    openAgain();
                }
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
            if (over) {
                return;
            }
            if (told) {
                expectMore(patience.silenceUs);
            }
            if (message.decoderResult().isFailure()) {
                broken("answer cannot be read");
            } else if (message instanceof HttpResponse response
                    && response.status().code() != 200) {
                broken("status " + response.status().code());
            } else if (message instanceof HttpContent content) {
                read(content.content());
                if (message instanceof LastHttpContent) {
                    broken("watch ended");
                }
            }
        }

        private void read(ByteBuf bytes) {
            while (bytes.isReadable() && !over) {
                int length = bytes.bytesBefore((byte) '\n');
                byte[] part = new byte[length < 0 ? bytes.readableBytes() : length + 1];
                bytes.readBytes(part);
                line.writeBytes(part);
                brackets.heed(part);
                if (line.size() > MOST_LINE) {
                    broken("line without an end");
                } else if (length >= 0 && brackets.endLine()) {
                    byte[] whole = line.toByteArray();
                    line.reset();
                    readLine(whole);
                }
            }
        }

        private void readLine(byte[] whole) {
            try {
                if (!isBlank(whole)) {
                    heed(decode(whole));
                } else if (!told) {
                    // A beat. As the first word it says that nothing has changed: the call has its answer.
                    heed(EndpointList.unchangedSince(rev));
                } else {
                    endLag();
                }
            } catch (IOException | InvalidEndpointListException e) {
                broken("bad line: " + e.getMessage());
            }
        }

        private static boolean isBlank(byte[] line) {
            for (byte each : line) {
                if (!Character.isWhitespace(each)) {
                    return false;
                }
            }
            return true;
        }

        private EndpointList decode(byte[] whole) throws IOException, InvalidEndpointListException {
            try (JsonParser parser = json.createParser(whole)) {
                return decoder.decode(parser);
            }
        }

        private void heed(EndpointList list) {
            if (!told || !list.endpoints().isEmpty()) {
                logList(list, !told);
            }
            if (!told) {
                told = true;
                expectMore(patience.silenceUs);
            }
            if (list.version() < rev) {
                lagsSinceNanos = lagsSinceNanos == 0 ? System.nanoTime() : lagsSinceNanos;
                endLag();
                return;
            }
            lagsSinceNanos = 0;
            backoffMs = BACKOFF_MS;
            rev = list.version();
            if (this == current) {
                endFormer();
            }
            listener.listed(list);
        }

        private void endLag() {
            if (lagsSinceNanos != 0 && System.nanoTime() - lagsSinceNanos > patience.lagUs * 1_000) {
                rev = 0;
                broken("behind for too long, asking for all");
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            broken("connection ended");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException)) {
                Log.error("watch_error", cause);
            }
            broken("connection failed");
        }
    }
}
