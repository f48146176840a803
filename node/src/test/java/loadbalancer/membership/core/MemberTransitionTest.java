package loadbalancer.membership.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Notifications of the listener when the record of a member changes. */
class MemberTransitionTest {
    private static Member member(String state, Incarnation incarnation) {
        return state.equals("none")
                ? null
                : new Member("n1", "127.0.0.1:1", "a", "node", incarnation, MemberState.valueOf(state));
    }

    @ParameterizedTest
    @CsvSource({
        "none, ALIVE, [JOINED]",
        "none, SUSPECT, '[JOINED, SUSPECTED]'",
        "none, DEAD, []",
        "none, LEFT, []",
        "ALIVE, ALIVE, []",
        "ALIVE, SUSPECT, [SUSPECTED]",
        "ALIVE, DEAD, [FAILED]",
        "ALIVE, LEFT, [LEFT]",
        "SUSPECT, ALIVE, [REFUTED]",
        "SUSPECT, SUSPECT, [SUSPECTED]",
        "SUSPECT, DEAD, [FAILED]",
        "SUSPECT, LEFT, [LEFT]",
        "DEAD, ALIVE, [JOINED]",
        "DEAD, SUSPECT, '[JOINED, SUSPECTED]'",
        "DEAD, LEFT, []",
        "LEFT, ALIVE, [JOINED]",
        "LEFT, DEAD, []"
    })
    void notificationsInTheSameGeneration(String before, String after, String expected) {
        MemberTransition transition =
                new MemberTransition(member(before, new Incarnation(5, 0)), member(after, new Incarnation(5, 1)));
        assertEquals(expected, transition.notifications().toString());
    }

    /** A restarted process is notified as UPDATED if it was still live, and as JOINED if it was already dead. */
    @ParameterizedTest
    @CsvSource({"ALIVE, [UPDATED]", "SUSPECT, '[REFUTED, UPDATED]'", "DEAD, [JOINED]"})
    void notificationsOfALaterGeneration(String before, String expected) {
        MemberTransition transition =
                new MemberTransition(member(before, new Incarnation(5, 3)), member("ALIVE", new Incarnation(6, 0)));
        assertEquals(expected, transition.notifications().toString());
    }
}
