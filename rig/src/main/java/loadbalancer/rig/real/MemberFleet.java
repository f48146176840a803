package loadbalancer.rig.real;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import java.util.function.BooleanSupplier;
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
 * Processes of the program that take part in one fleet. Each has an address of its own, and is spoken to by
 * way of a link that can be hurt, for datagrams and connections alike. They serve nobody: only membership is
 * played.
 */
final class MemberFleet implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int LOOK_MS = 2_000;
    private static final long IDLE_US = 15_000_000;
    /** Every member knows the first so many. */
    private static final int SEEDS = 3;

    private final DeployFile deploy;
    private final Path folder;
    private final int periodMs;
    private final SplittableRandom random;
    private final EventLoop loop = (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final List<Process> processes = new ArrayList<>();

    /** One place for a process; whoever runs there is one life after the other. */
    final class Process {
        private final int number;
        private final String name;
        private final InetSocketAddress bind;
        private final FaultLink connections;
        private final DatagramLink datagrams;
        private NodeProcess child;
        private InetSocketAddress listen;
        private int life;

        private Process(String name) throws IOException {
            number = processes.size();
            this.name = name;
            bind = Listener.free("127.6.0." + (1 + number));
            connections = new FaultLink(loop, "127.7.0." + (1 + number), bind, random.split());
            datagrams = new DatagramLink(loop, connections.address(), bind, random.split());
        }

        String name() {
            return name;
        }

        DatagramLink datagrams() {
            return datagrams;
        }

        boolean isUp() {
            return child != null && child.isAlive();
        }

        private String address() {
            return Listener.text(connections.address());
        }

        private Path log() {
            return folder.resolve(number + "-log" + life);
        }

        /** What its present or last life has printed. */
        String printed() throws IOException {
            return Files.readString(log());
        }

        void start() throws IOException {
            start(Map.of());
        }

        /** With these variables beside its own. */
        void start(Map<String, String> environment) throws IOException {
            start(fleet(), environment);
        }

        /** Starts it as a node of no fleet. */
        void startApart(Map<String, String> environment) throws IOException {
            start(null, environment);
        }

        private void start(ObjectNode fleet, Map<String, String> environment) throws IOException {
            life++;
            String own = "127.6.0." + (1 + number);
            Path config = folder.resolve(number + "-config.json");
            listen = Listener.free(own);
            String nobody = own + ":1";
            ObjectNode empty = JSON.createObjectNode().put("rev", 0).put("all", true);
            empty.putArray("targets");
            NodeConfigFile.write(
                    config,
                    name,
                    Listener.text(listen),
                    nobody,
                    Listener.text(Listener.free(own)),
                    random.nextLong(),
                    empty,
                    settings(),
                    IDLE_US,
                    fleet);
            Map<String, String> all = new HashMap<>(environment);
            all.put("PROXY_NAME", name);
            all.put("PROXY_CONFIG", config.toString());
            child = new NodeProcess(name, deploy.run(), all, deploy.root(), log(), code -> {});
        }

        private ObjectNode fleet() {
            ObjectNode fleet = JSON.createObjectNode()
                    .put("name", "rig")
                    .put("member", name)
                    .put("bind", Listener.text(bind))
                    .put("advertise", address())
                    .put("periodMs", periodMs);
            ArrayNode seeds = fleet.putArray("seeds");
            processes.stream().limit(SEEDS).forEach(seed -> seeds.add(seed.address()));
            return fleet;
        }

        /** Whether clients can connect. */
        boolean serves() {
            try (Socket socket = new Socket()) {
                socket.connect(listen, LOOK_MS);
                return true;
            } catch (IOException e) {
                // Not yet: the caller looks again.
                return false;
            }
        }

        void kill() {
            child.kill();
        }

        /** Stands still, or goes on believing that no time has passed. */
        void pause(boolean stop) throws IOException {
            child.pause(stop);
        }

        /** Asks it to end, as an operator does. */
        void end() {
            child.terminate();
        }

        /** How it sees its fleet, asked past its link; null where it does not answer. */
        MembershipView view() {
            try {
                return MembershipClient.fetchView(bind, LOOK_MS);
            } catch (IOException e) {
                // It has not begun, has ended, or stands still: the caller looks again.
                return null;
            }
        }

        /** Names of all that it holds for live, itself included. */
        List<String> live() {
            MembershipView view = view();
            return view == null ? List.of() : MemberFleet.live(view);
        }
    }

    /** @param folder for configuration and logs, the caller's */
    MemberFleet(DeployFile deploy, Path folder, long seed, int periodMs) {
        this.deploy = deploy;
        this.folder = folder;
        this.periodMs = periodMs;
        random = new SplittableRandom(seed);
    }

    private static BalancerSettings settings() {
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

    private static List<String> live(MembershipView view) {
        return Stream.concat(
                        Stream.of(view.self()),
                        view.others().stream().filter(m -> m.state().isLive()))
                .map(Member::name)
                .sorted()
                .toList();
    }

    /** One more place; nothing runs there yet. */
    Process add(String name) throws IOException {
        Process added = new Process(name);
        processes.add(added);
        return added;
    }

    /** So many, m0 on, all started at once. */
    MemberFleet with(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            add("m" + i);
        }
        for (Process process : processes) {
            process.start();
        }
        return this;
    }

    Process process(int number) {
        return processes.get(number);
    }

    List<Process> processes() {
        return processes;
    }

    /** From now on nothing comes through from one to another where this holds; connections need both ways. */
    void cut(BiPredicate<Process, Process> between) {
        for (Process to : processes) {
            Predicate<InetAddress> datagrams = from -> sender(from) != null && between.test(sender(from), to);
            to.datagrams.cut(datagrams);
            to.connections.cut(from -> datagrams.test(from) || sender(from) != null && between.test(to, sender(from)));
        }
    }

    private Process sender(InetAddress address) {
        return processes.stream()
                .filter(p -> p.bind.getAddress().equals(address))
                .findFirst()
                .orElse(null);
    }

    void heal() {
        cut((from, to) -> false);
    }

    /** Whether all that are up hold just these for live, in the same lives. */
    boolean agree() {
        List<Process> up = processes.stream().filter(Process::isUp).toList();
        List<String> names = up.stream().map(Process::name).distinct().sorted().toList();
        List<MembershipView> views = new ArrayList<>();
        for (Process process : up) {
            MembershipView view = process.view();
            if (view == null) {
                return false;
            }
            views.add(view);
        }
        return views.stream().mapToLong(MembershipView::digest).distinct().count() == 1
                && live(views.get(0)).equals(names);
    }

    /** Throws where this does not hold in time; tells what each holds for live then. */
    void await(String what, long withinMs, BooleanSupplier holds) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(withinMs);
        while (!holds.getAsBoolean()) {
            if (System.nanoTime() > end) {
                StringBuilder told = new StringBuilder("waited " + withinMs + " ms in vain for " + what);
                processes.forEach(
                        p -> told.append("\n").append(p.name).append(" ").append(p.live()));
                throw new IllegalStateException(told.toString());
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    @Override
    public void close() {
        processes.parallelStream().filter(process -> process.child != null).forEach(process -> {
            process.child.kill();
            process.child.close();
        });
        processes.forEach(process -> {
            process.connections.close();
            process.datagrams.close();
        });
        loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
