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

/** Each checker on a history that it must let pass, and on the same with one thing wrong. */
class CheckersTest {

    private record Case(
            String name,
            Supplier<Checker> checker,
            Function<HistoryBuilder, HistoryBuilder> start,
            Function<HistoryBuilder, HistoryBuilder> right,
            Function<HistoryBuilder, HistoryBuilder> wrong) {}

    private static Case of(
            String name,
            Supplier<Checker> checker,
            Function<HistoryBuilder, HistoryBuilder> start,
            Function<HistoryBuilder, HistoryBuilder> right,
            Function<HistoryBuilder, HistoryBuilder> wrong) {
        return new Case(name, checker, start, right, wrong);
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

    private static HistoryBuilder ask(HistoryBuilder t, String cls) {
        return t.add(Kind.ASK, "request", 1L, "class", cls, "left", 1_000L);
    }

    private static HistoryBuilder send(HistoryBuilder t, int attempt) {
        return t.add(Kind.SEND, "request", 1L, "attempt", attempt, "server", "s");
    }

    private static HistoryBuilder outcome(HistoryBuilder t, int attempt, String result) {
        return t.add(Kind.OUTCOME, "request", 1L, "attempt", attempt, "result", result);
    }

    private static HistoryBuilder answer(HistoryBuilder t, String answer) {
        return t.add(Kind.ANSWER, "request", 1L, "answer", answer);
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

    private static HistoryBuilder told(HistoryBuilder t, String state) {
        return t.add(Kind.TOLD, "server", "s", "state", state, "started", 0L);
    }

    private static Stream<Case> cases() {
        return Stream.of(
                of(
                        "a request never answered",
                        () -> new OneAnswer(50),
                        t -> served(ask(t, "search")),
                        t -> answer(t, "OK").at(5_000),
                        t -> t.at(5_000)),
                of(
                        "a late answer",
                        () -> new OneAnswer(50),
                        t -> ask(t, "search"),
                        t -> answer(t.at(1_040), "FAILED"),
                        t -> answer(t.at(1_060), "FAILED")),
                of(
                        "a client that gave up",
                        () -> new OneAnswer(50),
                        t -> ask(t, "search"),
                        t -> t.at(500).add(Kind.LEFT, "request", 1L),
                        t -> t.at(1_060).add(Kind.LEFT, "request", 1L)),
                of(
                        "a second answer",
                        () -> new OneAnswer(50),
                        t -> answer(ask(t, "search"), "REFUSED"),
                        t -> t,
                        t -> answer(t, "REFUSED")),
                of(
                        "an answer nobody made",
                        () -> new OneAnswer(50),
                        t -> send(ask(t, "search"), 0),
                        t -> answer(served(t), "OK"),
                        t -> answer(t, "OK")),
                of(
                        "an unsafe repeat",
                        () -> new Repeats(scenario(true)),
                        t -> send(ask(t, "settle"), 0),
                        t -> send(outcome(t, 0, "FULL"), 1),
                        t -> send(outcome(t, 0, "ERROR"), 1)),
                of(
                        "a repeat while it may run",
                        () -> new Repeats(scenario(true)),
                        t -> send(ask(t, "settle"), 0),
                        t -> t,
                        t -> send(t, 1)),
                of(
                        "a refusal though it may have run",
                        () -> new Repeats(scenario(true)),
                        t -> outcome(send(ask(t, "settle"), 0), 0, "RESET"),
                        t -> answer(t, "FAILED"),
                        t -> answer(t, "REFUSED")),
                of(
                        "too many attempts",
                        () -> new Repeats(scenario(true)),
                        t -> send(send(ask(t, "search"), 0), 1),
                        t -> t,
                        t -> send(t, 2)),
                of(
                        "two attempts at once",
                        () -> new Repeats(scenario(false)),
                        t -> send(ask(t, "search"), 0),
                        t -> send(outcome(t, 0, "ERROR"), 1),
                        t -> send(t, 1)),
                of(
                        "sent after the end",
                        () -> new Repeats(scenario(true)),
                        t -> answer(ask(t, "search"), "FAILED"),
                        t -> t,
                        t -> send(t, 0)),
                of(
                        "a drain ignored",
                        () -> new Drains(1_000),
                        t -> told(told(t, "READY"), "DRAINING"),
                        t -> send(t.at(900), 0),
                        t -> send(t.at(1_100), 0)),
                of(
                        "a second word does not start the grace anew",
                        () -> new Drains(1_000),
                        t -> told(told(told(t, "READY"), "DRAINING").at(800), "GONE"),
                        t -> send(t, 0),
                        t -> send(t.at(1_100), 0)),
                of(
                        "a server never told of",
                        () -> new Drains(1_000),
                        t -> t,
                        t -> send(told(t, "READY"), 0),
                        t -> send(t, 0)),
                of(
                        "a cordon ignored",
                        Cordons::new,
                        t -> t.add(Kind.CORDON, "server", "s"),
                        t -> send(t.add(Kind.UNCORDON, "server", "s"), 0),
                        t -> send(t, 0)),
                of(
                        "a cold server pushed over",
                        () -> new ColdServers(1_000),
                        t -> t.by("s", Kind.STARTED, "at", 1L, "zone", 0),
                        t -> send(t, 0).by("s", Kind.FELL),
                        t -> send(t.add(Kind.TOLD, "server", "s", "state", "READY", "started", 1L), 0)
                                .by("s", Kind.FELL)),
                of(
                        "a stale read of a register",
                        Linearizable::new,
                        t -> invoke(invoke(t, 1, "write", "x").add(Kind.RETURN, "call", 1L, "ok", true), 2, "read", ""),
                        t -> t.add(Kind.RETURN, "call", 2L, "ok", true, "value", "x"),
                        t -> t.add(Kind.RETURN, "call", 2L, "ok", true, "value", "old")),
                of(
                        "a revision used twice",
                        VersionedList::new,
                        t -> put(t, 1, 1),
                        t -> put(t, 2, 2),
                        t -> put(t, 2, 1)),
                of(
                        "a list that misses a change",
                        VersionedList::new,
                        t -> put(t, 1, 1),
                        t -> list(t, 2, 1, "a=v1"),
                        t -> list(t, 2, 1, "")),
                of(
                        "a stale list served as fresh",
                        VersionedList::new,
                        t -> put(put(t, 1, 1), 2, 2),
                        t -> list(t, 3, 2, "a=v2"),
                        t -> list(t, 3, 1, "a=v1")),
                of(
                        "a watch with a gap",
                        Versions::new,
                        t -> watched(t, 0, 4, true),
                        t -> watched(t, 4, 6, false),
                        t -> watched(t, 5, 6, false)),
                of(
                        "a version that goes back",
                        Versions::new,
                        t -> watched(t, 0, 4, true),
                        t -> watched(t.add(Kind.STARTED), 0, 3, true),
                        t -> watched(t, 0, 3, true)),
                of(
                        "a value past its bound",
                        Ages::new,
                        t -> t.at(900),
                        t -> t.add(Kind.USED, "value", "v", "written", 400L, "bound", 500L),
                        t -> t.add(Kind.USED, "value", "v", "written", 399L, "bound", 500L)),
                of(
                        "two holders",
                        SingleLeaseHolder::new,
                        t -> t.add(Kind.LEASED, "lease", "l", "until", 100L),
                        t -> t.at(100).by("q", Kind.LEASED, "lease", "l", "until", 200L),
                        t -> t.at(99).by("q", Kind.LEASED, "lease", "l", "until", 200L)),
                of(
                        "an acknowledged write lost",
                        AckedWrites::new,
                        t -> t.add(Kind.RETURN, "call", 1L, "number", 7L, "ok", true),
                        t -> t.add(Kind.STARTED, "found", 7L),
                        t -> t.add(Kind.STARTED, "found", 6L)),
                of(
                        "views that stay different",
                        () -> new Converged(1_000),
                        t -> t.add(Kind.VIEW, "digest", "x")
                                .by("q", Kind.VIEW, "digest", "y")
                                .add(Kind.HEALED),
                        t -> t.by("q", Kind.VIEW, "digest", "x").at(2_000),
                        t -> t.at(2_000)));
    }

    @TestFactory
    Stream<DynamicTest> eachCheckerTellsGoodHistoriesFromBad() {
        return cases().map(c -> DynamicTest.dynamicTest(c.name, () -> {
            assertEquals(
                    List.of(),
                    c.right
                            .apply(c.start.apply(new HistoryBuilder(c.checker.get())))
                            .end());
            List<Violation> found = c.wrong
                    .apply(c.start.apply(new HistoryBuilder(c.checker.get())))
                    .end();
            assertFalse(found.isEmpty(), "not caught");
            assertTrue(!found.get(0).events().isEmpty(), "tells nothing of what led to it");
        }));
    }
}
