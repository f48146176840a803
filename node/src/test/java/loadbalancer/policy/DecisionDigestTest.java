package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumSet;
import java.util.Set;
import java.util.stream.Stream;
import loadbalancer.policy.DecisionStream.Covered;
import loadbalancer.policy.DecisionStream.StreamParameters;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against unintended changes of behaviour: the same events and seed must give exactly the same actions,
 * including every random draw. A digest may change only with an intended change of behaviour, which its commit must
 * describe.
 */
class DecisionDigestTest {

    private static final Set<Covered> COMMON = EnumSet.of(
            Covered.RETRY,
            Covered.QUEUED_THEN_SENT,
            Covered.REJECTED,
            Covered.FAILED,
            Covered.EJECTED,
            Covered.RESTORED,
            Covered.TRIAL_REQUEST,
            Covered.SENT_TO_WARMING,
            Covered.FIRST_BYTE,
            Covered.CLIENT_LEFT,
            Covered.CORDONED,
            Covered.SETTINGS_CHANGED,
            Covered.LATE_WAKE_UP,
            Covered.CLOSED_IDLE,
            Covered.REJECTED_AS_LOWEST_VALUE,
            Covered.SHED_ON_ARRIVAL,
            Covered.EJECTED_FOR_CLASS,
            Covered.RESTORED_FOR_CLASS,
            Covered.DEDUPLICATION_BOUND);

    private static Set<Covered> commonAnd(Covered... more) {
        Set<Covered> all = EnumSet.copyOf(COMMON);
        all.addAll(Set.of(more));
        return all;
    }

    static Stream<Arguments> streams() {
        StreamParameters one =
                new StreamParameters(1, 6, 1, 0, false, false, false, false, false, 1 + 1, Integer.MAX_VALUE, true);
        StreamParameters small = new StreamParameters(3, 9, 2, 0.02, false, true, true, true, true, 4, 200, false);
        StreamParameters smallKeys = new StreamParameters(3, 9, 2, 0.02, true, true, true, true, true, 4, 200, false);
        StreamParameters keysOneZone = new StreamParameters(5, 12, 1, 0, true, false, true, true, false, 3, 100, false);
        StreamParameters hundred = new StreamParameters(100, 60, 3, 0.02, false, true, true, true, true, 3, 100, false);
        StreamParameters hundredKeys =
                new StreamParameters(100, 60, 3, 0.02, true, true, true, true, true, 3, 100, false);
        StreamParameters hundredOneZone =
                new StreamParameters(100, 60, 1, 0, false, true, true, true, false, 3, 60, true);
        return Stream.of(
                Arguments.of(
                        "one node",
                        one,
                        1L,
                        "1f12f3fe9c594f6fb1c3faaa4051d0d31699cf69e2ba494c75705a4144b60154",
                        COMMON),
                Arguments.of(
                        "three nodes, two zones",
                        small,
                        2L,
                        "7dd78edd28b8c1d7b20e8d839a3b694dbaba358ecdbcc3f43adc75e984a9bfc0",
                        commonAnd(Covered.HEDGE, Covered.CANCELLED, Covered.POLLED, Covered.OTHER_ZONE)),
                Arguments.of(
                        "three nodes, keys",
                        smallKeys,
                        3L,
                        "e8fa9580520af97994aac71d97dd458cdae43acd7070929f2d78dff7ce7250c5",
                        commonAnd(Covered.HEDGE, Covered.CANCELLED, Covered.POLLED, Covered.OTHER_ZONE)),
                Arguments.of(
                        "five nodes, keys, one zone",
                        keysOneZone,
                        4L,
                        "7bfce79fe4aa67fd0ee1824ff714843be0197d4a52e8ab2844b648ba01625fb4",
                        commonAnd(Covered.HEDGE, Covered.CANCELLED)),
                Arguments.of(
                        "a hundred nodes, three zones",
                        hundred,
                        5L,
                        "7e75891480279f37c427be483cf462c998d2746a14be25d16c77fac8f9944cd0",
                        commonAnd(Covered.HEDGE, Covered.CANCELLED, Covered.POLLED, Covered.OTHER_ZONE)),
                Arguments.of(
                        "a hundred nodes, keys",
                        hundredKeys,
                        6L,
                        "de9abc08781a3f27025176fca18b60a459928996c0316e0d49a5d0c146755c9a",
                        commonAnd(Covered.HEDGE, Covered.CANCELLED, Covered.POLLED, Covered.OTHER_ZONE)),
                Arguments.of(
                        "a hundred nodes, one zone",
                        hundredOneZone,
                        7L,
                        "5b1bb2dc041532624932a57d4f53b24772bed63e917acbeb932e0cf2aabaf506",
                        commonAnd(Covered.HEDGE, Covered.CANCELLED)));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("streams")
    void streamGivesTheRecordedDigest(
            String name, StreamParameters parameters, long seed, String digest, Set<Covered> expected) {
        DecisionStream stream = new DecisionStream(parameters, seed);
        String found = stream.digest();
        assertAll(
                () -> assertTrue(
                        stream.covered().keySet().containsAll(expected),
                        () -> "the stream no longer covers all of " + expected + ": " + stream.covered()),
                () -> assertEquals(digest, found, "digest of the balancer's actions"));
    }
}
