package loadbalancer.harness.process;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import loadbalancer.membership.codec.MembershipView;

/**
 * Node processes that form one fleet over links with injected faults, for both datagrams and connections. They receive
 * no requests: only membership is tested.
 */
final class MemberFleet implements AutoCloseable {
    /** Number of members, the first ones, whose addresses every member is configured with. */
    private static final int SEEDS = 3;

    private static final int POLL_MILLIS = 20;

    private final DeployFile deploy;
    private final Path folder;
    private final int periodMillis;
    private final SplittableRandom random;
    private final EventLoop loop = (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final List<MemberProcess> members = new ArrayList<>();

    /** @param folder for configurations and logs; owned by the caller */
    MemberFleet(DeployFile deploy, Path folder, long seed, int periodMillis) {
        this.deploy = deploy;
        this.folder = folder;
        this.periodMillis = periodMillis;
        random = new SplittableRandom(seed);
    }

    DeployFile deploy() {
        return deploy;
    }

    Path folder() {
        return folder;
    }

    int periodMillis() {
        return periodMillis;
    }

    long nextSeed() {
        return random.nextLong();
    }

    List<String> seedAddresses() {
        return members.stream()
                .limit(SEEDS)
                .map(MemberProcess::advertisedAddress)
                .toList();
    }

    /** Adds one member without starting its process. */
    MemberProcess add(String name) throws IOException {
        MemberProcess added = new MemberProcess(this, members.size(), name, loop, random);
        members.add(added);
        return added;
    }

    /** Adds this many members, named m0, m1 and so on, and starts them all. */
    MemberFleet startMembers(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            add("m" + i);
        }
        for (MemberProcess member : members) {
            member.start();
        }
        return this;
    }

    MemberProcess member(int number) {
        return members.get(number);
    }

    List<MemberProcess> members() {
        return members;
    }

    // ---------------------------------------------------------------- network

    /**
     * Blocks datagrams from the first to the second member of each pair that matches, from now on. Connections are
     * blocked if either direction is, as they need both.
     */
    void partition(BiPredicate<MemberProcess, MemberProcess> isBlocked) {
        for (MemberProcess to : members) {
            Predicate<InetAddress> blockedFrom = from -> memberAt(from) != null && isBlocked.test(memberAt(from), to);
            Predicate<InetAddress> blockedTowards =
                    from -> memberAt(from) != null && isBlocked.test(to, memberAt(from));
            to.blockFrom(blockedFrom, blockedFrom.or(blockedTowards));
        }
    }

    void heal() {
        partition((from, to) -> false);
    }

    private MemberProcess memberAt(InetAddress address) {
        return members.stream()
                .filter(member -> member.hasAddress(address))
                .findFirst()
                .orElse(null);
    }

    // ---------------------------------------------------------------- views

    /** Whether all running members have the same view, and it lists exactly the running members as live. */
    boolean isConverged() {
        List<MemberProcess> up = members.stream().filter(MemberProcess::isUp).toList();
        List<String> names =
                up.stream().map(MemberProcess::name).distinct().sorted().toList();
        List<MembershipView> views = new ArrayList<>();
        for (MemberProcess member : up) {
            MembershipView view = member.view();
            if (view == null) {
                return false;
            }
            views.add(view);
        }
        long digests =
                views.stream().mapToLong(MembershipView::digest).distinct().count();
        return digests == 1 && MemberProcess.liveNames(views.get(0)).equals(names);
    }

    /**
     * Waits until a condition is true.
     *
     * @throws IllegalStateException if it is not true in time; the message lists the live members in each member's view
     */
    void await(String condition, long withinMillis, BooleanSupplier isMet) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(withinMillis);
        while (!isMet.getAsBoolean()) {
            if (System.nanoTime() > endNanos) {
                throw new IllegalStateException(
                        "condition not met within " + withinMillis + " ms: " + condition + liveNames());
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
    }

    private String liveNames() {
        StringBuilder lines = new StringBuilder();
        for (MemberProcess member : members) {
            List<String> live = member.liveNames();
            lines.append('\n').append(member.name()).append(member.isUp() ? " " + live : " is not running");
            if (live.isEmpty()) {
                lines.append(member.logTail());
            }
        }
        return lines.toString();
    }

    @Override
    public void close() {
        members.parallelStream().forEach(MemberProcess::close);
        members.forEach(MemberProcess::closeLinks);
        loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
