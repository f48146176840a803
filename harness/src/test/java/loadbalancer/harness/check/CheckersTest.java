package loadbalancer.harness.check;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Stream;
import loadbalancer.harness.history.Event.Kind;
import loadbalancer.harness.scenario.BadScenarioException;
import loadbalancer.harness.scenario.Scenario;
import loadbalancer.harness.scenario.ScenarioFile;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/** Runs each checker on a valid history and on the same history with one violation. */
class CheckersTest {

    private record Case(
            String name,
            Supplier<Checker> checker,
            Function<HistoryBuilder, HistoryBuilder> start,
            Function<HistoryBuilder, HistoryBuilder> valid,
            Function<HistoryBuilder, HistoryBuilder> invalid) {}

    private static Case of(
            String name,
            Supplier<Checker> checker,
            Function<HistoryBuilder, HistoryBuilder> start,
            Function<HistoryBuilder, HistoryBuilder> valid,
            Function<HistoryBuilder, HistoryBuilder> invalid) {
        return new Case(name, checker, start, valid, invalid);
    }

    private static Scenario scenario(boolean hedging) {
        try {
            return ScenarioFile.parse(
                    "name = \"x\"\n[rules]\nsecond_copies = " + hedging + "\nmax_attempts = 2",
                    Map.of(),
                    List.of("slow"));
        } catch (BadScenarioException e) {
            throw new IllegalStateException(e);
        }
    }

    private static HistoryBuilder request(HistoryBuilder t, String className) {
        return t.add(Kind.ASK, "request", 1L, "class", className, "left", 1_000L);
    }

    private static HistoryBuilder send(HistoryBuilder t, int attempt) {
        return t.add(Kind.SEND, "request", 1L, "attempt", attempt, "server", "s");
    }

    private static HistoryBuilder outcome(HistoryBuilder t, int attempt, String result) {
        return t.add(Kind.OUTCOME, "request", 1L, "attempt", attempt, "result", result);
    }

    private static HistoryBuilder response(HistoryBuilder t, String response) {
        return t.add(Kind.ANSWER, "request", 1L, "answer", response);
    }

    private static HistoryBuilder served(HistoryBuilder t) {
        return t.by("s", Kind.SERVED, "request", 1L, "attempt", 0);
    }

    private static HistoryBuilder invoke(HistoryBuilder t, long call, String op, String value) {
        return t.add(Kind.INVOKE, "call", call, "op", op, "key", "k", "value", value);
    }

    private static HistoryBuilder list(HistoryBuilder t, long call, long revision, String digest) {
        return t.add(Kind.INVOKE, "call", call, "op", "list")
                .add(Kind.RETURN, "call", call, "ok", true, "revision", revision, "digest", digest);
    }

    private static HistoryBuilder put(HistoryBuilder t, long call, long revision) {
        return t.add(Kind.INVOKE, "call", call, "op", "put", "entry", "a", "value", "v" + call)
                .add(Kind.RETURN, "call", call, "ok", true, "revision", revision);
    }

    private static HistoryBuilder watched(HistoryBuilder t, long from, long version, boolean whole) {
        return t.add(Kind.WATCHED, "from", from, "version", version, "whole", whole);
    }

    private static HistoryBuilder notified(HistoryBuilder t, String state) {
        return t.add(Kind.TOLD, "server", "s", "state", state, "started", 0L);
    }

    private static Stream<Case> cases() {
        return Stream.of(
                of(
                        "request without a response",
                        () -> new OneAnswer(50),
                        t -> served(request(t, "search")),
                        t -> response(t, "OK").at(5_000),
                        t -> t.at(5_000)),
                of(
                        "late response",
                        () -> new OneAnswer(50),
                        t -> request(t, "search"),
                        t -> response(t.at(1_040), "FAILED"),
                        t -> response(t.at(1_060), "FAILED")),
                of(
                        "client that gave up",
                        () -> new OneAnswer(50),
                        t -> request(t, "search"),
                        t -> t.at(500).add(Kind.LEFT, "request", 1L),
                        t -> t.at(1_060).add(Kind.LEFT, "request", 1L)),
                of(
                        "second response",
                        () -> new OneAnswer(50),
                        t -> response(request(t, "search"), "REFUSED"),
                        t -> t,
                        t -> response(t, "REFUSED")),
                of(
                        "response that no app server made",
                        () -> new OneAnswer(50),
                        t -> send(request(t, "search"), 0),
                        t -> response(served(t), "OK"),
                        t -> response(t, "OK")),
                of(
                        "retry of a non-idempotent request that failed",
                        () -> new Repeats(scenario(true)),
                        t -> send(request(t, "settle"), 0),
                        t -> send(outcome(t, 0, "FULL"), 1),
                        t -> send(outcome(t, 0, "ERROR"), 1)),
                of(
                        "retry of a non-idempotent request that is in progress",
                        () -> new Repeats(scenario(true)),
                        t -> send(request(t, "settle"), 0),
                        t -> t,
                        t -> send(t, 1)),
                of(
                        "rejection of a request that may have run",
                        () -> new Repeats(scenario(true)),
                        t -> outcome(send(request(t, "settle"), 0), 0, "RESET"),
                        t -> response(t, "FAILED"),
                        t -> response(t, "REFUSED")),
                of(
                        "too many attempts",
                        () -> new Repeats(scenario(true)),
                        t -> send(send(request(t, "search"), 0), 1),
                        t -> t,
                        t -> send(t, 2)),
                of(
                        "concurrent attempts without hedging",
                        () -> new Repeats(scenario(false)),
                        t -> send(request(t, "search"), 0),
                        t -> send(outcome(t, 0, "ERROR"), 1),
                        t -> send(t, 1)),
                of(
                        "attempt after the final response",
                        () -> new Repeats(scenario(true)),
                        t -> response(request(t, "search"), "FAILED"),
                        t -> t,
                        t -> send(t, 0)),
                of(
                        "attempt to a draining server",
                        () -> new Drains(1_000),
                        t -> notified(notified(t, "READY"), "DRAINING"),
                        t -> send(t.at(900), 0),
                        t -> send(t.at(1_100), 0)),
                of(
                        "second notification does not restart the grace period",
                        () -> new Drains(1_000),
                        t -> notified(notified(notified(t, "READY"), "DRAINING").at(800), "GONE"),
                        t -> send(t, 0),
                        t -> send(t.at(1_100), 0)),
                of(
                        "attempt to an unknown server",
                        () -> new Drains(1_000),
                        t -> t,
                        t -> send(notified(t, "READY"), 0),
                        t -> send(t, 0)),
                of(
                        "attempt to a cordoned server",
                        Cordons::new,
                        t -> t.add(Kind.CORDON, "server", "s"),
                        t -> send(t.add(Kind.UNCORDON, "server", "s"), 0),
                        t -> send(t, 0)),
                of(
                        "collapse of a cold server",
                        () -> new ColdServers(1_000),
                        t -> t.by("s", Kind.STARTED, "at", 1L, "zone", 0),
                        t -> send(t, 0).by("s", Kind.FELL),
                        t -> send(t.add(Kind.TOLD, "server", "s", "state", "READY", "started", 1L), 0)
                                .by("s", Kind.FELL)),
                of(
                        "stale read of a register",
                        Linearizable::new,
                        t -> invoke(invoke(t, 1, "write", "x").add(Kind.RETURN, "call", 1L, "ok", true), 2, "read", ""),
                        t -> t.add(Kind.RETURN, "call", 2L, "ok", true, "value", "x"),
                        t -> t.add(Kind.RETURN, "call", 2L, "ok", true, "value", "old")),
                of("revision used twice", VersionedList::new, t -> put(t, 1, 1), t -> put(t, 2, 2), t -> put(t, 2, 1)),
                of(
                        "list without a change",
                        VersionedList::new,
                        t -> put(t, 1, 1),
                        t -> list(t, 2, 1, "a=v1"),
                        t -> list(t, 2, 1, "")),
                of(
                        "stale list returned as current",
                        VersionedList::new,
                        t -> put(put(t, 1, 1), 2, 2),
                        t -> list(t, 3, 2, "a=v2"),
                        t -> list(t, 3, 1, "a=v1")),
                of(
                        "watch with a gap",
                        Versions::new,
                        t -> watched(t, 0, 4, true),
                        t -> watched(t, 4, 6, false),
                        t -> watched(t, 5, 6, false)),
                of(
                        "decreasing version",
                        Versions::new,
                        t -> watched(t, 0, 4, true),
                        t -> watched(t.add(Kind.STARTED), 0, 3, true),
                        t -> watched(t, 0, 3, true)),
                of(
                        "value older than its bound",
                        Ages::new,
                        t -> t.at(900),
                        t -> t.add(Kind.USED, "value", "v", "written", 400L, "bound", 500L),
                        t -> t.add(Kind.USED, "value", "v", "written", 399L, "bound", 500L)),
                of(
                        "two holders of a lease",
                        SingleLeaseHolder::new,
                        t -> t.add(Kind.LEASED, "lease", "l", "until", 100L),
                        t -> t.at(100).by("q", Kind.LEASED, "lease", "l", "until", 200L),
                        t -> t.at(99).by("q", Kind.LEASED, "lease", "l", "until", 200L)),
                of(
                        "acknowledged write lost",
                        AckedWrites::new,
                        t -> t.add(Kind.RETURN, "call", 1L, "number", 7L, "ok", true),
                        t -> t.add(Kind.STARTED, "found", 7L),
                        t -> t.add(Kind.STARTED, "found", 6L)),
                of(
                        "views that do not converge",
                        () -> new Converged(1_000),
                        t -> t.add(Kind.VIEW, "digest", "x")
                                .by("q", Kind.VIEW, "digest", "y")
                                .add(Kind.HEALED),
                        t -> t.by("q", Kind.VIEW, "digest", "x").at(2_000),
                        t -> t.at(2_000)));
    }

    @TestFactory
    Stream<DynamicTest> checkerAcceptsValidAndRejectsInvalidHistories() {
        return cases().map(c -> DynamicTest.dynamicTest(c.name, () -> {
            assertEquals(
                    List.of(),
                    c.valid
                            .apply(c.start.apply(new HistoryBuilder(c.checker.get())))
                            .end());
            List<Violation> violations = c.invalid
                    .apply(c.start.apply(new HistoryBuilder(c.checker.get())))
                    .end();
            assertFalse(violations.isEmpty(), "no violation reported");
            assertTrue(!violations.get(0).events().isEmpty(), "violation without events");
        }));
    }
}
