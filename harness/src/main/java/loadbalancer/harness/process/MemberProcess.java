package loadbalancer.harness.process;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import java.util.stream.Stream;
import loadbalancer.membership.MembershipClient;
import loadbalancer.membership.codec.MembershipView;
import loadbalancer.membership.core.Member;
import loadbalancer.policy.BalancerSettings;
import loadbalancer.policy.DeduplicationScope;
import loadbalancer.policy.Idempotency;
import loadbalancer.policy.RequestClass;

/**
 * One member of a {@link MemberFleet}: an address, a link with injected faults in front of it for datagrams and one for
 * connections, and the process that currently runs there.
 */
final class MemberProcess implements AutoCloseable {
    /** Network of the addresses that members bind to; the last number identifies the member. */
    private static final String MEMBER_NETWORK = "127.6.0.";

    /** Network of the addresses that the members' links listen at; the last number identifies the member. */
    private static final String LINK_NETWORK = "127.7.0.";

    private static final String FLEET_NAME = "rig";
    private static final int CLIENT_TIMEOUT_MILLIS = 2_000;
    private static final long IDLE_TIMEOUT_US = 15_000_000;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final MemberFleet fleet;
    private final int number;
    private final String name;
    private final String host;
    private final InetSocketAddress bind;
    private final FaultLink connections;
    private final DatagramLink datagrams;
    private ChildProcess process;
    private InetSocketAddress listen;
    private int starts;

    MemberProcess(MemberFleet fleet, int number, String name, EventLoop loop, SplittableRandom random)
            throws IOException {
        this.fleet = fleet;
        this.number = number;
        this.name = name;
        host = MEMBER_NETWORK + (1 + number);
        bind = HttpListener.freeAddress(host);
        connections = new FaultLink(loop, LINK_NETWORK + (1 + number), bind, random.split());
        datagrams = new DatagramLink(loop, connections.address(), bind, random.split());
    }

    String name() {
        return name;
    }

    /** Returns the address that it advertises to the other members: that of its links. */
    String advertisedAddress() {
        return HttpListener.format(connections.address());
    }

    boolean hasAddress(InetAddress address) {
        return bind.getAddress().equals(address);
    }

    /** Blocks datagrams and connections from these addresses, and from no others. */
    void blockFrom(Predicate<InetAddress> datagramsFrom, Predicate<InetAddress> connectionsFrom) {
        datagrams.blockFrom(datagramsFrom);
        connections.blockFrom(connectionsFrom);
    }

    // ---------------------------------------------------------------- process

    /** Starts a process that joins the fleet. */
    void start() throws IOException {
        start(Map.of());
    }

    /** Starts a process that joins the fleet, with these additional environment variables. */
    void start(Map<String, String> environment) throws IOException {
        start(fleetConfig(), environment);
    }

    /** Starts a process without a fleet in its configuration. */
    void startWithoutFleet(Map<String, String> environment) throws IOException {
        start(null, environment);
    }

    private void start(ObjectNode fleetConfig, Map<String, String> environment) throws IOException {
        starts++;
        listen = HttpListener.freeAddress(host);
        Path config = fleet.folder().resolve(number + "-config.json");
        writeConfig(config, fleetConfig);
        Map<String, String> variables = new HashMap<>(environment);
        variables.put("PROXY_NAME", name);
        variables.put("PROXY_CONFIG", config.toString());
        DeployFile deploy = fleet.deploy();
        process = new ChildProcess(name, deploy.run(), variables, deploy.root(), log(), exitCode -> {});
    }

    private void writeConfig(Path config, ObjectNode fleetConfig) throws IOException {
        String unusedAddress = host + ":1";
        ObjectNode noServers = JSON.createObjectNode().put("rev", 0).put("all", true);
        noServers.putArray("targets");
        NodeConfigFile.write(
                config,
                name,
                HttpListener.format(listen),
                unusedAddress,
                HttpListener.format(HttpListener.freeAddress(host)),
                fleet.nextSeed(),
                noServers,
                balancerSettings(),
                IDLE_TIMEOUT_US,
                fleetConfig);
    }

    private ObjectNode fleetConfig() {
        ObjectNode config = JSON.createObjectNode()
                .put("name", FLEET_NAME)
                .put("member", name)
                .put("bind", HttpListener.format(bind))
                .put("advertise", advertisedAddress())
                .put("periodMs", fleet.periodMillis());
        ArrayNode seeds = config.putArray("seeds");
        fleet.seedAddresses().forEach(seeds::add);
        return config;
    }

    /** Returns arbitrary valid settings, as members receive no requests. */
    private static BalancerSettings balancerSettings() {
        BalancerSettings settings = new BalancerSettings();
        settings.zones.add("a");
        settings.classes.add(new RequestClass(
                "any", 1_000_000, 0, 2_000_000, 1, 0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, false));
        settings.maxAttempts = 2;
        settings.connectTimeoutUs = 500_000;
        settings.warmUpInitialShare = 0.5;
        settings.warmUpUs = 1_000_000;
        settings.overloadMultiple = 2;
        settings.overloadUs = 1_000_000;
        return settings;
    }

    boolean isUp() {
        return process != null && process.isAlive();
    }

    void kill() {
        process.kill();
    }

    /** Stops it by SIGSTOP until {@link #resume}. */
    void pause() throws IOException {
        process.pause(true);
    }

    void resume() throws IOException {
        process.pause(false);
    }

    /** Sends SIGTERM. */
    void terminate() {
        process.terminate();
    }

    private Path log() {
        return fleet.folder().resolve(number + "-log" + starts);
    }

    /** Returns the log of its current or last process. */
    String logged() throws IOException {
        return Files.readString(log());
    }

    /** Returns the end of its log, as {@link LogTail} does. */
    String logTail() {
        return LogTail.of(log());
    }

    @Override
    public void close() {
        if (process != null) {
            process.kill();
            process.close();
        }
    }

    void closeLinks() {
        connections.close();
        datagrams.close();
    }

    // ---------------------------------------------------------------- state

    /** Whether clients can connect. */
    boolean isListening() {
        try (Socket socket = new Socket()) {
            socket.connect(listen, CLIENT_TIMEOUT_MILLIS);
            return true;
        } catch (IOException e) {
            // Not listening yet: the caller tries again.
            return false;
        }
    }

    /** Fetches its membership view directly, not through its links; null if it does not respond. */
    MembershipView view() {
        try {
            return MembershipClient.fetchView(bind, CLIENT_TIMEOUT_MILLIS);
        } catch (IOException e) {
            // The process is starting, has ended, or is paused: the caller tries again.
            return null;
        }
    }

    /** Returns the names of the live members in its view, including itself; empty if it does not respond. */
    List<String> liveNames() {
        MembershipView view = view();
        return view == null ? List.of() : liveNames(view);
    }

    static List<String> liveNames(MembershipView view) {
        Stream<Member> others =
                view.others().stream().filter(member -> member.state().isLive());
        return Stream.concat(Stream.of(view.self()), others)
                .map(Member::name)
                .sorted()
                .toList();
    }
}
