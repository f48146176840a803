package loadbalancer.harness.process;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.SplittableRandom;
import loadbalancer.harness.simulation.AppServer;
import loadbalancer.harness.simulation.Testbed;
import loadbalancer.harness.simulation.Work;
import loadbalancer.policy.AttemptResult;
import loadbalancer.policy.LoadReport;

/** A fake app server: serves HTTP on loopback with the timing and the results of its model. */
final class FakeServer {
    private final AppServer server;
    private final Testbed testbed;
    private final SystemTimeline time;
    private final RequestRegistry requests;
    private final SplittableRandom random;
    private final Listener listener;

    FakeServer(AppServer server, String address, Testbed testbed, SystemTimeline time, RequestRegistry requests) {
        this.server = server;
        this.testbed = testbed;
        this.time = time;
        this.requests = requests;
        // The stream's seed is derived from its name, so this literal must not change.
        random = time.stream("stand-in " + server.id());
        listener = new Listener(time.loop(), address, Connection::new);
        // The first call runs outside the loop, so it waits until the port is known.
        listener.open();
    }

    InetSocketAddress address() {
        return listener.address();
    }

    /** Whether connections to it are accepted: its process runs, or its machine is unreachable but accepts them. */
    boolean isOpen() {
        return server.isUp() || server.isUnreachable();
    }

    /** Applies the state of the model: an unreachable machine keeps its connections, a dead process resets them. */
    void syncWithModel() {
        if (isOpen()) {
            listener.open();
        } else {
            listener.close();
        }
    }

    void close() {
        listener.close();
    }

    /** One connection of a node, with one request at a time. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
        private RequestRegistry.Attempt attempt;
        private AppServer.Job job;
        private boolean connectionCounted;

        @Override
        public void channelActive(ChannelHandlerContext context) {
            connectionCounted = server.isUnreachable() || server.connect("any");
            if (!connectionCounted) {
                context.close();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            String txn = request.headers().get("X-Txn");
            RequestRegistry.Attempt sent = requests.onAttempt(txn, server);
            if (sent == null) {
                respond(context, HttpResponseStatus.BAD_REQUEST, "no client asked this", false, null);
                return;
            }
            attempt = sent;
            int nodeZone = sent.node().zone();
            if (server.isUnreachable() || testbed.links().isBlocked(nodeZone, server.zone())) {
                return;
            }
            long remainingUs =
                    Long.parseLong(request.headers().get("X-Remaining").replace("u", ""));
            long untilUs = time.nowUs() + remainingUs;
            time.after(testbed.links().delay(random, nodeZone, server.zone()), () -> {
                if (attempt == sent) {
                    job = server.submit(
                            new Work(
                                    sent.node().name(),
                                    sent.request().id(),
                                    sent.number(),
                                    sent.request().classIndex(),
                                    sent.request().key(),
                                    testbed.attemptWork(sent.request(), random),
                                    untilUs),
                            (result, report) -> onReply(context, sent, result, report));
                }
            });
        }

        private void onReply(
                ChannelHandlerContext context,
                RequestRegistry.Attempt repliedAttempt,
                AttemptResult result,
                LoadReport report) {
            int nodeZone = repliedAttempt.node().zone();
            if (attempt != repliedAttempt
                    || server.isUnreachable()
                    || testbed.links().isBlocked(server.zone(), nodeZone)) {
                return;
            }
            time.after(testbed.links().delay(random, server.zone(), nodeZone), () -> {
                if (attempt != repliedAttempt) {
                    return;
                }
                end(result);
                switch (result) {
                    case OK -> respond(context, HttpResponseStatus.OK, repliedAttempt.txn(), false, report);
                    case ERROR -> respond(context, HttpResponseStatus.INTERNAL_SERVER_ERROR, "error", false, report);
                    case FULL -> respond(context, HttpResponseStatus.SERVICE_UNAVAILABLE, "full", true, report);
                    default -> context.close();
                }
            });
        }

        private void end(AttemptResult result) {
            requests.onOutcome(attempt, server, result);
            attempt = null;
            job = null;
        }

        private void respond(
                ChannelHandlerContext context,
                HttpResponseStatus status,
                String body,
                boolean rejected,
                LoadReport report) {
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(body, StandardCharsets.US_ASCII));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
            if (rejected) {
                response.headers().set("X-Turned-Away", "1");
            }
            if (report != null) {
                response.headers()
                        .set(
                                "X-Pressure",
                                String.format(
                                        Locale.ROOT,
                                        "TEXT queue=%.2f, inflight=%.2f",
                                        report.value(0),
                                        report.value(1)));
            }
            context.writeAndFlush(response);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (attempt != null) {
                server.abandon(job);
                end(server.isUp() || server.isUnreachable() ? AttemptResult.CANCELLED : AttemptResult.RESET);
            }
            if (connectionCounted) {
                server.disconnect("any");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // A node may close its connection in the middle of a request.
            context.close();
        }
    }
}
