package loadbalancer.rig.real;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import loadbalancer.membership.codec.MembershipView;
import loadbalancer.rig.real.MemberFleet.Process;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Membership among processes of the program, with what is between them hurt. */
class MemberFleetTest {
    private static final int PERIOD_MS = 200;
    /** Starts of several processes on a busy machine, and many periods: far beyond what any of it takes. */
    private static final long AWAITED_MS = 60_000;

    @TempDir
    private Path folder;

    private MemberFleet fleet() throws Exception {
        return new MemberFleet(DeployFile.find(Path.of("")), folder, 1, PERIOD_MS);
    }

    private static long count(Process process, String figure) {
        MembershipView view = process.view();
        return view == null ? -1 : view.metrics().get(figure);
    }

    /** How often a process has logged this event of that member. */
    private static long countLogged(Process process, String event, String member) throws IOException {
        String logged = logLine(event, member);
        return process.printed().lines().filter(line -> line.contains(logged)).count();
    }

    private static String logLine(String event, String member) {
        return "event=" + event + " member=" + member + " address=";
    }

    @Test
    void theyFindEachOtherAndHearOfEndsAndOfLeaving() throws Exception {
        try (MemberFleet fleet = fleet().with(6)) {
            fleet.await("all six to agree", AWAITED_MS, fleet::agree);
            // On a machine that is full a member that lives may be given up for a while: counted by name, and
            // from the event on, the figures do not rest on its speed.
            Process observer = fleet.process(1);
            long deathsBefore = countLogged(observer, "member_failed", "m4");
            fleet.process(4).kill();
            fleet.await("five to agree", AWAITED_MS, fleet::agree);
            assertEquals(deathsBefore + 1, countLogged(observer, "member_failed", "m4"));
            long deathsBeforeLeaving = countLogged(observer, "member_failed", "m5");
            fleet.process(5).end();
            fleet.await("it to end", AWAITED_MS, () -> !fleet.process(5).isUp());
            fleet.await("four to agree", AWAITED_MS, fleet::agree);
            assertEquals(1, countLogged(observer, "member_left", "m5"));
            assertEquals(1, count(observer, "changes_left"));
            assertEquals(deathsBeforeLeaving, countLogged(observer, "member_failed", "m5"));
            assertEquals(deathsBefore + 1, countLogged(observer, "member_failed", "m4"));
            fleet.process(4).start();
            fleet.await("it to be back", AWAITED_MS, () -> fleet.process(4).isUp() && fleet.agree());
        }
    }

    @Test
    void oneThatHearsNobodyIsGivenUpAndComesBack() throws Exception {
        try (MemberFleet fleet = fleet().with(5)) {
            fleet.await("all five to agree", AWAITED_MS, fleet::agree);
            fleet.cut((from, to) -> to.name().equals("m3"));
            List<String> others = List.of("m0", "m1", "m2", "m4");
            fleet.await(
                    "the others to give it up",
                    AWAITED_MS,
                    () -> fleet.process(1).live().equals(others)
                            && fleet.process(4).live().equals(others));
            fleet.await(
                    "it to hold itself for alone",
                    AWAITED_MS,
                    () -> fleet.process(3).live().equals(List.of("m3")));
            fleet.heal();
            fleet.await("all five to agree again", AWAITED_MS, fleet::agree);
        }
    }

    @Test
    void oneThatStoodStillComesBackAndGivesNobodyUp() throws Exception {
        try (MemberFleet fleet = fleet().with(5)) {
            fleet.await("all five to agree", AWAITED_MS, fleet::agree);
            Process still = fleet.process(2);
            still.pause(true);
            List<String> others = List.of("m0", "m1", "m3", "m4");
            fleet.await(
                    "the others to give it up",
                    AWAITED_MS,
                    () -> fleet.process(0).live().equals(others)
                            && fleet.process(4).live().equals(others));
            still.pause(false);
            fleet.await("all five to agree again", AWAITED_MS, fleet::agree);
            assertEquals(0, count(still, "changes_died"));
        }
    }

    @Test
    void aNodeThatIsToldOfNoFleetLoadsNothingOfIt() throws Exception {
        try (MemberFleet fleet = fleet()) {
            List<Set<String>> loaded = new ArrayList<>();
            for (boolean member : new boolean[] {true, false}) {
                Path classes = folder.resolve("classes-" + member);
                Map<String, String> told = Map.of("JAVA_TOOL_OPTIONS", "-Xlog:class+load:file=" + classes);
                Process process = fleet.add("alone-" + member);
                if (member) {
                    process.start(told);
                } else {
                    process.startApart(told);
                }
                fleet.await("it to serve", AWAITED_MS, process::serves);
                process.kill();
                try (Stream<String> lines = Files.lines(classes)) {
                    loaded.add(lines.flatMap(line -> Stream.of(line.split(" ")))
                            .filter(word -> word.startsWith("loadbalancer.membership.")
                                    || word.contains(".cbor.")
                                    || word.contains("NioDatagramChannel"))
                            .collect(Collectors.toSet()));
                }
            }
            assertTrue(
                    loaded.get(0).contains("loadbalancer.membership.MembershipService"),
                    "the check sees what is loaded");
            assertEquals(Set.of(), loaded.get(1));
        }
    }

    @Test
    void ofTwoWithOneNameTheLaterStays() throws Exception {
        try (MemberFleet fleet = fleet().with(4)) {
            fleet.await("all four to agree", AWAITED_MS, fleet::agree);
            Process later = fleet.add("m3");
            later.start();
            fleet.await(
                    "the earlier one to give way",
                    AWAITED_MS,
                    () -> fleet.process(3).view() == null && later.view() != null);
            assertTrue(
                    fleet.process(3).printed().contains(logLine("member_name_yielded", "m3")),
                    fleet.process(3).printed());
            fleet.await("it to serve", AWAITED_MS, fleet.process(3)::serves);
            fleet.process(3).end();
            fleet.await("it to end", AWAITED_MS, () -> !fleet.process(3).isUp());
            assertTrue(
                    fleet.process(3).printed().contains("event=draining"),
                    fleet.process(3).printed());
            fleet.await(
                    "the others to hold the later one for it",
                    AWAITED_MS,
                    () -> fleet.process(0).view().digest() == later.view().digest()
                            && fleet.process(0).live().contains("m3"));
        }
    }

    @Test
    void allKilledAndStartedWithNoSeedUpWaitForOne() throws Exception {
        try (MemberFleet fleet = fleet().with(6)) {
            fleet.await("all six to agree", AWAITED_MS, fleet::agree);
            fleet.processes().forEach(Process::kill);
            for (Process process : fleet.processes().subList(3, 6)) {
                process.start();
            }
            fleet.await(
                    "three to be up, each alone",
                    AWAITED_MS,
                    () -> fleet.processes().subList(3, 6).stream()
                            .allMatch(p -> p.live().equals(List.of(p.name()))));
            fleet.process(0).start();
            fleet.await(
                    "four to agree", AWAITED_MS, () -> fleet.process(0).live().size() == 4 && fleet.agree());
        }
    }
}
