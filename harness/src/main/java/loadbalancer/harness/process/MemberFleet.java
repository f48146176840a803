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
 * Processes of the program that take part in one fleet over links that can fail, for datagrams and connections alike.
 * They serve no requests: only membership is tested.
 */
final class MemberFleet implements AutoCloseable {
    /** Every member has the addresses of the first so many. */
    private static final int SEEDS = 3;

    private static final int POLL_MILLIS = 20;

    private final DeployFile deploy;
    private final Path folder;
    private final int periodMillis;
    private final SplittableRandom random;
    private final EventLoop loop = (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final List<MemberProcess> members = new ArrayList<>();

    /** @param folder for configurations and logs, the caller's */
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

    /** Adds one member whose process is not started. */
    MemberProcess add(String name) throws IOException {
        MemberProcess added = new MemberProcess(this, members.size(), name, loop, random);
        members.add(added);
        return added;
    }

    /** Adds so many members, m0 on, and starts all. */
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

    /** From now on nothing arrives from one member at another where this holds; connections need both ways. */
    void partition(BiPredicate<MemberProcess, MemberProcess> isCut) {
        for (MemberProcess to : members) {
            Predicate<InetAddress> isCutFrom = from -> memberAt(from) != null && isCut.test(memberAt(from), to);
            Predicate<InetAddress> isCutTowards = from -> memberAt(from) != null && isCut.test(to, memberAt(from));
            to.cut(isCutFrom, isCutFrom.or(isCutTowards));
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

    /** Whether all members that are up hold just these for live, in the same generations. */
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

    /** Throws IllegalStateException, with what each member holds for live, where this does not hold in time. */
    void await(String condition, long withinMillis, BooleanSupplier holds) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(withinMillis);
        while (!holds.getAsBoolean()) {
            if (System.nanoTime() > endNanos) {
                throw new IllegalStateException("not within " + withinMillis + " ms: " + condition + liveNames());
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
    }

    private String liveNames() {
        StringBuilder lines = new StringBuilder();
        for (MemberProcess member : members) {
            List<String> live = member.liveNames();
            lines.append('\n').append(member.name()).append(member.isUp() ? " " + live : " has no process");
            if (live.isEmpty()) {
                lines.append(member.lastLogged());
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
