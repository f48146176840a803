package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import loadbalancer.config.NodeConfig;
import loadbalancer.discovery.EndpointListDecoder;
import loadbalancer.eventloop.MeasuredEventLoop;
import loadbalancer.net.SocketAddresses;
import loadbalancer.policy.Balancer;
import loadbalancer.policy.BalancerActions;
import loadbalancer.policy.BalancerSettings;
import loadbalancer.policy.DeduplicationScope;
import loadbalancer.policy.Idempotency;
import loadbalancer.policy.RequestClass;
import loadbalancer.policy.ServiceQBalancer;
import loadbalancer.policy.Tenant;

/** A node on loopback sockets with the servers that its list names and a discovery that a test plays. */
public final class Site implements AutoCloseable {
    public final BalancerSettings settings = new BalancerSettings();
    public final FarServer discovery;
    public final MeasuredEventLoop loop = new MeasuredEventLoop("node", false);
    int sockets = 256;
    public long connIdleUs = 60_000_000;
    /** The decision module; a test may put a faulty one in its place. */
    public Function<BalancerActions, Balancer> module;
    /** Whether the node has an address for operators, and what it shares with other processes of the node. */
    boolean operated;

    Path folder;
    Set<String> keys = Set.of();
    public Node node;
    InetSocketAddress control;
    private InetSocketAddress address;
    private final List<Socket> clients = new ArrayList<>();

    public Site(FarServer discovery) {
        this.discovery = discovery;
        module = actions -> new ServiceQBalancer(settings, 7, actions);
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

    private static RequestClass requestClass(String name, Idempotency repeat, DeduplicationScope group) {
        return new RequestClass(name, 1_000_000, 0, 5_000_000, 1, 0, repeat, group, 1_200_000, false);
    }

    /** A site whose discovery opens a watch and says nothing on it. */
    public static Site quiet() throws IOException {
        return new Site(new FarServer((request, peer) -> peer.write(watchHead())));
    }

    public static String watchHead() {
        return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    }

    public static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** A list whose entries are id=endpoint=state. */
    public static String list(int rev, boolean all, String... entries) {
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

    private static InetSocketAddress anyPort() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }

    public NodeConfig config(String known) throws Exception {
        return new NodeConfig(
                anyPort(),
                SocketAddresses.parseOrNull(discovery.endpoint()),
                7,
                sockets,
                connIdleUs,
                new EndpointListDecoder(settings.zones).decode(new ObjectMapper().readTree(known)),
                settings,
                keys,
                new NodeConfig.Operators(operated ? anyPort() : null, folder, false),
                null);
    }

    /** Starts the node with the servers s0, s1, ... */
    public Site start(FarServer... servers) throws Exception {
        String[] entries = new String[servers.length];
        for (int i = 0; i < servers.length; i++) {
            entries[i] = "s" + i + "=" + servers[i].endpoint() + "=Ready";
        }
        return startKnowing(list(1, true, entries));
    }

    public Site startKnowing(String known) throws Exception {
        control(known);
        return begin();
    }

    /** Makes a node that does not serve clients yet. */
    void control(String known) throws Exception {
        node = new Node(config(known), loop, module);
        if (operated) {
            control = (InetSocketAddress) node.startControl().sync().channel().localAddress();
        }
    }

    Site begin() throws Exception {
        address = (InetSocketAddress) node.start().sync().channel().localAddress();
        return this;
    }

    public Socket connect() throws IOException {
        Socket client = new Socket(address.getAddress(), address.getPort());
        client.setSoTimeout(20_000);
        clients.add(client);
        return client;
    }

    /** What the node answers to a call at its address for operators, to the end. */
    String call(String line) throws IOException {
        try (Socket caller = new Socket(control.getAddress(), control.getPort())) {
            caller.setSoTimeout(20_000);
            write(caller, line);
            return new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /** Waits until a figure has this value. */
    void awaitFigure(String line) throws IOException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        String figures = call("counters\n");
        while (!figures.contains(line + "\n")) {
            assertTrue(System.nanoTime() < end, "no " + line + " in\n" + figures);
            figures = call("counters\n");
        }
    }

    /** Waits until connections are refused: the system closes a listener with the loop's next select. */
    void awaitRefusal() {
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

    /** Keeps the node's one loop from running until the latch is down: it meets all that comes at once. */
    public CountDownLatch holdLoop() throws InterruptedException {
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        loop.execute(() -> {
            held.countDown();
            try {
                release.await(20, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        held.await();
        return release;
    }

    /** Waits until the loop has done all that it had to do by now. */
    void awaitLoop() throws InterruptedException {
        loop.submit(() -> {}).sync();
    }

    public static Http.Message ask(Socket client, String request) throws IOException {
        write(client, request);
        return Http.read(client.getInputStream());
    }

    public static void write(Socket client, String text) throws IOException {
        client.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    /** One request on a connection of its own. */
    public Http.Message ask(String request) throws IOException {
        return ask(connect(), request);
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
