package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import loadbalancer.config.NodeConfig;
import loadbalancer.config.OperationsConfig;
import loadbalancer.discovery.EndpointListDecoder;
import loadbalancer.eventloop.MeasuredEventLoop;
import loadbalancer.net.SocketAddresses;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.Balancer;
import loadbalancer.policy.BalancerActions;
import loadbalancer.policy.BalancerSettings;
import loadbalancer.policy.DeduplicationScope;
import loadbalancer.policy.Idempotency;
import loadbalancer.policy.RequestClass;
import loadbalancer.policy.ServiceQBalancer;
import loadbalancer.policy.Tenant;

/** A node under test on loopback sockets. Its servers and its discovery service are fakes that a test scripts. */
public final class NodeHarness implements AutoCloseable {
    public final BalancerSettings settings = new BalancerSettings();
    public final FakeServer discovery;
    public final MeasuredEventLoop loop = new MeasuredEventLoop("node", false);
    int socketLimit = 256;
    public long serverIdleTimeoutUs = 60_000_000;
    /** Creates the balancer of the node. A test may replace it to get a faulty balancer. */
    public Function<BalancerActions, Balancer> balancerFactory;
    /** Whether the node has a control address. */
    boolean hasControl;

    /** Whether the node behaves as if its listening socket were inherited. */
    boolean handsOverListener;

    /** The folder that the node shares with other processes of the same node; null if there is none. */
    Path sharedFolder;

    Set<String> configuredKeys = Set.of();
    public Node node;
    InetSocketAddress controlAddress;
    private InetSocketAddress address;
    private final List<Socket> clients = new ArrayList<>();

    public NodeHarness(FakeServer discovery) {
        this.discovery = discovery;
        balancerFactory = actions -> new ServiceQBalancer(settings, 7, actions);
        settings.zones.add("here");
        settings.classes.add(requestClass("page", Idempotency.IDEMPOTENT, DeduplicationScope.ALL));
        settings.classes.add(requestClass("photo", Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.CELL));
        settings.classes.add(requestClass("order", Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL));
        settings.tenants.add(new Tenant("org"));
        settings.maxAttempts = 4;
        settings.cancellation = true;
        settings.maxRetryAfterUs = 250_000;
        settings.connectTimeoutUs = 5_000_000;
        settings.pollsEndpointList = true;
    }

    private static RequestClass requestClass(
            String name, Idempotency idempotency, DeduplicationScope deduplicationScope) {
        return new RequestClass(name, 1_000_000, 0, 5_000_000, 1, 0, idempotency, deduplicationScope, 1_200_000, false);
    }

    /** Returns a node whose discovery service accepts the watch and sends no list on it. */
    public static NodeHarness withSilentDiscovery() throws IOException {
        return new NodeHarness(new FakeServer((request, connection) -> connection.write(watchResponseHead())));
    }

    public static String watchResponseHead() {
        return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    }

    public static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** Returns an endpoint list as JSON. Each entry is given as id=endpoint=state. */
    public static String endpointList(int rev, boolean all, String... entries) {
        StringBuilder targets = new StringBuilder();
        for (String entry : entries) {
            String[] parts = entry.split("=");
            targets.append(targets.isEmpty() ? "" : ",")
                    .append("{\"uid\":\"")
                    .append(parts[0])
                    .append("\",\"endpoint\":\"")
                    .append(parts[1])
                    .append("\",\"az\":\"here\",\"pod_group\":0,\"state\":\"")
                    .append(parts[2])
                    .append("\",\"capacity_hint\":1.0,\"boot_ms\":0}");
        }
        return "{\"rev\":" + rev + ",\"all\":" + all + ",\"targets\":[" + targets + "]}";
    }

    /**
     * Calls the observer with the outcome of each attempt, on the event loop and before the balancer of the node gets
     * it. To be called before the node starts.
     */
    public void observeOutcomes(Consumer<AttemptOutcome> observer) {
        Function<BalancerActions, Balancer> observed = balancerFactory;
        balancerFactory = actions -> {
            Balancer balancer = observed.apply(actions);
            return (Balancer) Proxy.newProxyInstance(
                    Balancer.class.getClassLoader(), new Class<?>[] {Balancer.class}, (proxy, method, arguments) -> {
                        if (method.getName().equals("onOutcome")) {
                            observer.accept((AttemptOutcome) arguments[1]);
                        }
                        return method.invoke(balancer, arguments);
                    });
        };
    }

    private static InetSocketAddress anyPort() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }

    public NodeConfig config(String initialList) throws Exception {
        return new NodeConfig(
                anyPort(),
                SocketAddresses.parseOrNull(discovery.endpoint()),
                7,
                socketLimit,
                serverIdleTimeoutUs,
                new EndpointListDecoder(settings.zones).decode(new ObjectMapper().readTree(initialList)),
                settings,
                configuredKeys,
                new OperationsConfig(hasControl ? anyPort() : null, sharedFolder, handsOverListener),
                null);
    }

    /** Starts the node with these servers, which get the ids s0, s1, ... */
    public NodeHarness start(FakeServer... servers) throws Exception {
        String[] entries = new String[servers.length];
        for (int i = 0; i < servers.length; i++) {
            entries[i] = "s" + i + "=" + servers[i].endpoint() + "=Ready";
        }
        return startWithList(endpointList(1, true, entries));
    }

    public NodeHarness startWithList(String initialList) throws Exception {
        createNode(initialList);
        return listen();
    }

    /** Creates a node that does not serve clients yet. */
    void createNode(String initialList) throws Exception {
        node = new Node(config(initialList), loop, balancerFactory);
        if (hasControl) {
            controlAddress =
                    (InetSocketAddress) node.startControl().sync().channel().localAddress();
        }
    }

    NodeHarness listen() throws Exception {
        address = (InetSocketAddress) node.start().sync().channel().localAddress();
        return this;
    }

    /** Starts the graceful shutdown. The latch is counted down once the node has drained. */
    CountDownLatch drain() {
        CountDownLatch drained = new CountDownLatch(1);
        node.drain(System.nanoTime(), drained::countDown);
        return drained;
    }

    /** Makes discovery announce another server, as the first change after the list that the node started with. */
    void announceServer(String id, FakeServer server) throws Exception {
        FakeServer.awaitNext(discovery.respondedConnections)
                .write(chunk(endpointList(2, false, id + "=" + server.endpoint() + "=Ready") + "\n"));
    }

    public Socket connect() throws IOException {
        Socket client = new Socket(address.getAddress(), address.getPort());
        client.setSoTimeout(20_000);
        clients.add(client);
        return client;
    }

    /** Opens a connection whose client can write little more than the node and this send buffer hold. */
    Socket connectWithSendBuffer(int bytes) throws IOException {
        Socket client = new Socket();
        client.setSendBufferSize(bytes);
        client.connect(address);
        client.setSoTimeout(20_000);
        clients.add(client);
        return client;
    }

    /** Sends a control call and returns the whole response. */
    String controlCall(String line) throws IOException {
        try (Socket caller = new Socket(controlAddress.getAddress(), controlAddress.getPort())) {
            caller.setSoTimeout(20_000);
            write(caller, line);
            return new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /** Waits until the metrics contain this line. */
    void awaitMetric(String line) throws IOException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        String metrics = controlCall("counters\n");
        while (!metrics.contains(line + "\n")) {
            assertTrue(System.nanoTime() < end, "no " + line + " in\n" + metrics);
            metrics = controlCall("counters\n");
        }
    }

    /** Waits until connections are refused. The system closes a listening socket at the loop's next select. */
    void awaitConnectionRefused() {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (true) {
            try {
                connect();
            } catch (IOException e) {
                return;
            }
            assertTrue(System.nanoTime() < end, "connections are still accepted");
            Thread.onSpinWait();
        }
    }

    /**
     * Blocks the event loop until the returned latch is counted down, for 20 s at most. The loop then handles
     * everything that has arrived meanwhile in one turn.
     */
    public CountDownLatch blockEventLoop() throws InterruptedException {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        loop.execute(() -> {
            blocked.countDown();
            try {
                release.await(20, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        blocked.await();
        return release;
    }

    /**
     * Blocks the event loop while it handles the events of a poll, until the returned latch is counted down, for 20 s
     * at most. The loop then runs the timers that are due before it polls again.
     */
    CountDownLatch blockEventHandling() throws Exception {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .handler(new ChannelInboundHandlerAdapter() {
                        @Override
                        public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
                            ReferenceCountUtil.release(message);
                            blocked.countDown();
                            release.await(20, TimeUnit.SECONDS);
                            context.close();
                        }
                    })
                    .connect(listener.getLocalSocketAddress())
                    .sync();
            Socket peer = listener.accept();
            clients.add(peer);
            peer.getOutputStream().write(0);
        }
        blocked.await();
        return release;
    }

    /** Waits until the loop has run all tasks that are queued now. */
    void awaitEventLoop() throws InterruptedException {
        loop.submit(() -> {}).sync();
    }

    /**
     * Waits until the loop has run the timers that are due now. A timer that is set from another thread and is due at
     * once runs like a task, ahead of them, so the one that is awaited here is set on the loop.
     */
    void awaitDueTimers() throws InterruptedException {
        CountDownLatch run = new CountDownLatch(1);
        loop.execute(() -> loop.schedule(run::countDown, 0, TimeUnit.NANOSECONDS));
        assertTrue(run.await(20, TimeUnit.SECONDS));
    }

    public static Http.Message exchange(Socket client, String request) throws IOException {
        write(client, request);
        return Http.readMessage(client.getInputStream());
    }

    public static void write(Socket client, String text) throws IOException {
        client.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Sends a request on a new connection and returns the response. */
    public Http.Message exchange(String request) throws IOException {
        return exchange(connect(), request);
    }

    @Override
    public void close() throws IOException {
        for (Socket client : clients) {
            client.close();
        }
        discovery.close();
        loop.shutdownGracefully();
    }
}
