package loadbalancer.harness.process;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import loadbalancer.harness.simulation.ListModel;
import loadbalancer.policy.ListKind;
import loadbalancer.policy.ServerEntry;
import loadbalancer.policy.ServerState;

/** A fake of discovery's agent on the machine of one node: serves the list of the model in the platform's format. */
final class FakeEndpointList implements ListModel.Follower {
    private static final long HEARTBEAT_INTERVAL_US = 2_000_000;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final SystemTimeline time;
    private final List<String> zones;
    private final Function<String, String> endpoints;
    private final Map<String, ServerEntry> servers = new LinkedHashMap<>();
    private final Set<Watch> watches = new HashSet<>();
    private final Listener listener;
    private long version;

    /** @param endpoints returns the address of an app server by its id */
    FakeEndpointList(String address, SystemTimeline time, List<String> zones, Function<String, String> endpoints) {
        this.time = time;
        this.zones = zones;
        this.endpoints = endpoints;
        listener = new Listener(time.loop(), address, Watch::new);
        listener.open();
    }

    InetSocketAddress address() {
        return listener.address();
    }

    void close() {
        listener.close();
    }

    @Override
    public void listed(long newVersion, ListKind kind, List<ServerEntry> entries) {
        version = newVersion;
        if (kind != ListKind.CHANGES) {
            servers.clear();
        }
        for (ServerEntry entry : entries) {
            if (entry.state() == ServerState.GONE) {
                servers.remove(entry.id());
            } else {
                servers.put(entry.id(), entry);
            }
        }
        if (kind == ListKind.CHANGES) {
            String line = json(false, entries) + "\n";
            watches.forEach(watch -> watch.sendText(line));
        }
    }

    /** Returns the full list, as a configuration file contains it. */
    ObjectNode fullList() {
        return tree(true, List.copyOf(servers.values()));
    }

    private String json(boolean all, List<ServerEntry> entries) {
        return tree(all, entries).toString();
    }

    private ObjectNode tree(boolean all, List<ServerEntry> entries) {
        ObjectNode list = JSON.createObjectNode().put("rev", version).put("all", all);
        ArrayNode targets = list.putArray("targets");
        for (ServerEntry entry : entries) {
            String state = entry.state() == ServerState.DRAINING
                    ? "Terminating"
                    : entry.state().name().charAt(0)
                            + entry.state().name().substring(1).toLowerCase(Locale.ROOT);
            targets.addObject()
                    .put("uid", entry.id())
                    .put("endpoint", endpoints.apply(entry.id()))
                    .put("az", zones.get(entry.zone()))
                    .put("model", "stand-in")
                    .put("pod_group", entry.cell())
                    .put("state", state)
                    .put("capacity_hint", entry.weight())
                    .put("boot_ms", entry.startedAtUs() == 0 ? 0 : time.unixMs(entry.startedAtUs()));
        }
        return list;
    }

    /** One connection of the node: serves the list once, or as a watch with heartbeats. */
    private final class Watch extends SimpleChannelInboundHandler<FullHttpRequest> {
        private ChannelHandlerContext context;

        @Override
        protected void channelRead0(ChannelHandlerContext from, FullHttpRequest request) {
            context = from;
            if (!request.uri().startsWith("/discovery/hosts")) {
                respond(HttpResponseStatus.NOT_FOUND, "");
            } else if (!request.uri().contains("watch=1")) {
                respond(HttpResponseStatus.OK, json(true, List.copyOf(servers.values())));
            } else {
                DefaultHttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
                HttpUtil.setTransferEncodingChunked(head, true);
                context.write(head);
                watches.add(this);
                sendText(json(true, List.copyOf(servers.values())) + "\n");
                scheduleHeartbeat();
            }
        }

        private void respond(HttpResponseStatus status, String body) {
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
            context.writeAndFlush(response);
        }

        private void scheduleHeartbeat() {
            time.after(HEARTBEAT_INTERVAL_US, () -> {
                if (watches.contains(this)) {
                    sendText("\n");
                    scheduleHeartbeat();
                }
            });
        }

        private void sendText(String line) {
            context.writeAndFlush(new DefaultHttpContent(Unpooled.copiedBuffer(line, StandardCharsets.UTF_8)));
        }

        @Override
        public void channelInactive(ChannelHandlerContext gone) {
            watches.remove(this);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext from, Throwable cause) {
            from.close();
        }
    }
}
