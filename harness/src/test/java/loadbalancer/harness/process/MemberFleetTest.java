package loadbalancer.harness.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import loadbalancer.membership.codec.MembershipView;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests membership between node processes over links with injected faults. */
class MemberFleetTest {
    private static final int PERIOD_MILLIS = 200;
    /** Far longer than the start of several processes on a busy machine plus many protocol periods. */
    private static final long TIMEOUT_MILLIS = 60_000;

    @TempDir
    private Path folder;

    private MemberFleet fleet() throws Exception {
        return new MemberFleet(DeployFile.find(Path.of("")), folder, 1, PERIOD_MILLIS);
    }

    private static long metric(MemberProcess member, String name) {
        MembershipView view = member.view();
        return view == null ? -1 : view.metrics().get(name);
    }

    /** Returns how often a member has logged this event about another member. */
    private static long countLogged(MemberProcess observer, String event, String member) throws IOException {
        String logged = logLine(event, member);
        return observer.logged().lines().filter(line -> line.contains(logged)).count();
    }

    private static String logLine(String event, String member) {
        return "event=" + event + " member=" + member + " address=";
    }

    /**
     * Six processes discover each other. One is killed and is logged as failed. Another receives SIGTERM and is logged
     * as left, never as failed. The killed one restarts and rejoins.
     */
    @Test
    void membersDiscoverEachOtherAndLogFailuresAndLeaves() throws Exception {
        try (MemberFleet fleet = fleet().startMembers(6)) {
            fleet.await("all six converged", TIMEOUT_MILLIS, fleet::isConverged);
            // On an overloaded machine a running member may be considered dead for a while. The counts are taken by
            // name and relative to the event, so that they do not depend on the machine's speed.
            MemberProcess observer = fleet.member(1);
            long failuresBefore = countLogged(observer, "member_failed", "m4");
            fleet.member(4).kill();
            fleet.await("five converged", TIMEOUT_MILLIS, fleet::isConverged);
            assertEquals(failuresBefore + 1, countLogged(observer, "member_failed", "m4"));
            long failuresBeforeLeave = countLogged(observer, "member_failed", "m5");
            fleet.member(5).terminate();
            fleet.await("m5 ended", TIMEOUT_MILLIS, () -> !fleet.member(5).isUp());
            fleet.await("four converged", TIMEOUT_MILLIS, fleet::isConverged);
            assertEquals(1, countLogged(observer, "member_left", "m5"));
            assertEquals(1, metric(observer, "changes_left"));
            assertEquals(failuresBeforeLeave, countLogged(observer, "member_failed", "m5"));
            assertEquals(failuresBefore + 1, countLogged(observer, "member_failed", "m4"));
            fleet.member(4).start();
            fleet.await("m4 back", TIMEOUT_MILLIS, () -> fleet.member(4).isUp() && fleet.isConverged());
        }
    }

    /** A member receives nothing: it and the others consider each other dead, and all converge after the partition. */
    @Test
    void memberThatReceivesNothingFailsAndComesBack() throws Exception {
        try (MemberFleet fleet = fleet().startMembers(5)) {
            fleet.await("all five converged", TIMEOUT_MILLIS, fleet::isConverged);
            fleet.partition((from, to) -> to.name().equals("m3"));
            List<String> others = List.of("m0", "m1", "m2", "m4");
            fleet.await(
                    "m3 dead for the others",
                    TIMEOUT_MILLIS,
                    () -> fleet.member(1).liveNames().equals(others)
                            && fleet.member(4).liveNames().equals(others));
            fleet.await(
                    "all others dead for m3",
                    TIMEOUT_MILLIS,
                    () -> fleet.member(3).liveNames().equals(List.of("m3")));
            fleet.heal();
            fleet.await("all five converged again", TIMEOUT_MILLIS, fleet::isConverged);
        }
    }

    /** A process is paused until the others consider it dead. It rejoins, and has not considered any other dead. */
    @Test
    void pausedMemberRejoinsAndConsidersNoMemberDead() throws Exception {
        try (MemberFleet fleet = fleet().startMembers(5)) {
            fleet.await("all five converged", TIMEOUT_MILLIS, fleet::isConverged);
            MemberProcess paused = fleet.member(2);
            paused.pause();
            List<String> others = List.of("m0", "m1", "m3", "m4");
            fleet.await(
                    "m2 dead for the others",
                    TIMEOUT_MILLIS,
                    () -> fleet.member(0).liveNames().equals(others)
                            && fleet.member(4).liveNames().equals(others));
            paused.resume();
            fleet.await("all five converged again", TIMEOUT_MILLIS, fleet::isConverged);
            assertEquals(0, metric(paused, "changes_died"));
        }
    }

    /** Membership must cost nothing on a node without a fleet in its configuration: none of its classes is loaded. */
    @Test
    void nodeWithoutFleetLoadsNoMembershipClass() throws Exception {
        try (MemberFleet fleet = fleet()) {
            assertTrue(
                    classesLoaded(fleet, true).contains("loadbalancer.membership.MembershipService"),
                    "the check sees what is loaded");
            assertEquals(Set.of(), classesLoaded(fleet, false));
        }
    }

    /** Returns the classes used only by membership that a node loads until it listens. */
    private Set<String> classesLoaded(MemberFleet fleet, boolean inFleet) throws Exception {
        Path classes = folder.resolve("classes-" + inFleet);
        Map<String, String> environment = Map.of("JAVA_TOOL_OPTIONS", "-Xlog:class+load:file=" + classes);
        MemberProcess node = fleet.add("alone-" + inFleet);
        if (inFleet) {
            node.start(environment);
        } else {
            node.startWithoutFleet(environment);
        }
        fleet.await(node.name() + " listening", TIMEOUT_MILLIS, node::isListening);
        node.kill();
        try (Stream<String> lines = Files.lines(classes)) {
            return lines.flatMap(line -> Stream.of(line.split(" ")))
                    .filter(word -> word.startsWith("loadbalancer.membership.")
                            || word.contains(".cbor.")
                            || word.contains("NioDatagramChannel"))
                    .collect(Collectors.toSet());
        }
    }

    /**
     * A second process starts with the name of a member. The first one yields the name and continues to serve requests,
     * and the others regard the second one as that member.
     */
    @Test
    void earlierProcessYieldsItsNameAndContinuesToServe() throws Exception {
        try (MemberFleet fleet = fleet().startMembers(4)) {
            fleet.await("all four converged", TIMEOUT_MILLIS, fleet::isConverged);
            MemberProcess earlier = fleet.member(3);
            MemberProcess later = fleet.add("m3");
            later.start();
            fleet.await("name yielded", TIMEOUT_MILLIS, () -> earlier.view() == null && later.view() != null);
            assertTrue(earlier.logged().contains(logLine("member_name_yielded", "m3")), earlier.logged());
            fleet.await("earlier one listening", TIMEOUT_MILLIS, earlier::isListening);
            earlier.terminate();
            fleet.await("earlier one ended", TIMEOUT_MILLIS, () -> !earlier.isUp());
            assertTrue(earlier.logged().contains("event=draining"), earlier.logged());
            fleet.await(
                    "later one held for m3",
                    TIMEOUT_MILLIS,
                    () -> fleet.member(0).view().digest() == later.view().digest()
                            && fleet.member(0).liveNames().contains("m3"));
        }
    }

    /** All processes crash and only non-seeds restart. Each is alone in its view until a seed restarts. */
    @Test
    void membersThatRestartWithoutSeedsWaitForOne() throws Exception {
        try (MemberFleet fleet = fleet().startMembers(6)) {
            fleet.await("all six converged", TIMEOUT_MILLIS, fleet::isConverged);
            fleet.members().forEach(MemberProcess::kill);
            List<MemberProcess> restarted = fleet.members().subList(3, 6);
            for (MemberProcess member : restarted) {
                member.start();
            }
            fleet.await(
                    "three up, each alone",
                    TIMEOUT_MILLIS,
                    () -> restarted.stream()
                            .allMatch(member -> member.liveNames().equals(List.of(member.name()))));
            fleet.member(0).start();
            fleet.await(
                    "four converged",
                    TIMEOUT_MILLIS,
                    () -> fleet.member(0).liveNames().size() == 4 && fleet.isConverged());
        }
    }
}
