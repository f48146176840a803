package loadbalancer.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import loadbalancer.membership.core.Incarnation;
import loadbalancer.membership.core.Member;
import loadbalancer.membership.core.MemberState;
import loadbalancer.membership.core.MembershipChange;
import org.junit.jupiter.api.Test;

/** Names and fields of log events, for which operators search. */
class MembershipEventLogTest {
    private static final Member MEMBER =
            new Member("n3", "127.0.0.3:7946", "a", "node", new Incarnation(5, 1), MemberState.SUSPECT);

    private static String captureLog(Runnable events) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        PrintStream originalErr = System.err;
        System.setErr(new PrintStream(bytes, true, StandardCharsets.UTF_8));
        try {
            events.run();
        } finally {
            System.setErr(originalErr);
        }
        return bytes.toString(StandardCharsets.UTF_8);
    }

    @Test
    void eachChangeIsLoggedWithFieldsOfTheMember() {
        String fields = " member=n3 address=127.0.0.3:7946 zone=a role=node incarnation=5.1\n";
        String expected = "level=info event=member_joined" + fields
                + "level=info event=member_updated" + fields
                + "level=info event=member_suspected" + fields
                + "level=info event=member_refuted" + fields
                + "level=info event=member_failed" + fields
                + "level=info event=member_left" + fields
                + "level=info event=member_forgotten" + fields
                + "level=warn event=member_name_yielded" + fields
                + "level=warn event=member_name_taken_over" + fields
                + "level=warn event=member_rejected" + fields;
        assertEquals(expected, captureLog(() -> {
            for (MembershipChange.Type type : MembershipChange.Type.values()) {
                MembershipEventLog.onChange(new MembershipChange(type, MEMBER, 1));
            }
        }));
    }

    @Test
    void startAndUnavailableAddressAreLogged() {
        assertEquals(
                "level=info event=membership_started fleet=f member=n3 address=127.0.0.3:7946\n"
                        + "level=warn event=membership_address_unavailable address=127.0.0.3:7946"
                        + " cause=\"java.net.BindException: taken\"\n",
                captureLog(() -> {
                    MembershipEventLog.onStarted("f", MEMBER);
                    MembershipEventLog.onAddressUnavailable(MEMBER.address(), new java.net.BindException("taken"));
                }));
    }
}
