package loadbalancer.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.lang.reflect.RecordComponent;
import java.util.List;
import java.util.StringJoiner;
import loadbalancer.membership.core.MembershipSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Reading and validating the object {@code fleet} of a configuration file. */
class MembershipConfigTest {

    private static MembershipConfig read(String json) throws Exception {
        return MembershipConfig.read(new ObjectMapper().readTree(json.replace('\'', '"')), "n1");
    }

    @Test
    void timeoutAndSyncDefaultsScaleWithPeriod() throws Exception {
        MembershipConfig config =
                read("{'name':'f','bind':'127.0.0.1:7946','seeds':['127.0.0.2:7946']," + "'periodMs':200}");
        assertEquals("n1", config.settings().name());
        assertEquals("127.0.0.1:7946", config.settings().address());
        assertEquals(80_000, config.settings().probeTimeoutUs());
        assertEquals(6_000_000, config.settings().stateSyncIntervalUs());
        assertEquals(List.of("127.0.0.2:7946"), config.settings().seeds());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{'bind':'127.0.0.1:1'} | fleet.name is missing",
                "{'name':'f'} | fleet.bind is missing",
                "{'name':'f g','bind':'127.0.0.1:1'} | fleet.name = f g: must be 1 to 64 characters of ASCII",
                "{'name':'f','bind':'localhost:1'} | fleet.bind = localhost:1: must be address:port",
                "{'name':'f','bind':'127.0.0.1:0'} | fleet.bind = 127.0.0.1:0: must be address:port, with a port",
                "{'name':'f','bind':'10.0.0.1:1'} | fleet.bind = 10.0.0.1:1: must be a loopback address, or",
                "{'name':'f','bind':'127.0.0.1:1','seeds':['x']} | fleet.seeds = x: must be a list of address:port",
                "{'name':'f','bind':'127.0.0.1:1','periodMs':0} | fleet.periodMs = 0: must be a whole number of",
                "{'name':'f','bind':'127.0.0.1:1','answerMs':1000} | fleet.answerMs = 1000: must be above 0",
                "{'name':'f','bind':'127.0.0.1:1','askers':101} | fleet.askers = 101: must be 0 to 100",
                "{'name':'f','bind':'127.0.0.1:1','perodMs':5} | fleet.perodMs = 5: is not known; keys here are",
                "[] | fleet = []: must be an object"
            })
    void invalidConfigErrorNamesKeyValueAndAllowedValues(String json, String expectedStart) {
        String message =
                assertThrows(MembershipConfigException.class, () -> read(json)).getMessage();
        assertTrue(message.startsWith(expectedStart), message);
    }

    /** Pins the keys of the object, which deploy files use. */
    @Test
    void unknownKeyErrorListsAllKeys() {
        String message = assertThrows(
                        MembershipConfigException.class, () -> read("{'name':'f','bind':'127.0.0.1:1','other':5}"))
                .getMessage();
        assertEquals(
                "fleet.other = 5: is not known; keys here are name, member, bind, beyondLoopback, advertise, seeds,"
                        + " zone, role, periodMs, answerMs, askers, suspicionPeriods, suspicionMost, confirmations,"
                        + " healthMost, spread, syncMs, forgetMs, mostMembers",
                message);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "'answerMs':1000 | fleet.answerMs = 1000: must be above 0 and under periodMs",
                "'askers':101 | fleet.askers = 101: must be 0 to 100",
                "'suspicionPeriods':0 | fleet.suspicionPeriods = 0: must be at least 1",
                "'suspicionMost':0 | fleet.suspicionMost = 0: must be at least 1",
                "'confirmations':-1 | fleet.confirmations = -1: must be at least 0",
                "'healthMost':101 | fleet.healthMost = 101: must be 0 to 100",
                "'spread':0 | fleet.spread = 0: must be 1 to 100",
                "'syncMs':999 | fleet.syncMs = 999: must be at least periodMs",
                "'forgetMs':5 | fleet.forgetMs = 5: must be at least syncMs",
                "'mostMembers':1 | fleet.mostMembers = 1: must be at least 2",
                "'askers':1.5 | fleet.askers = 1.5: must be a whole number"
            })
    void boundsErrorUsesKeysOfTheFile(String setting, String expected) {
        String message = assertThrows(
                        MembershipConfigException.class,
                        () -> read("{'name':'f','bind':'127.0.0.1:1'," + setting + "}"))
                .getMessage();
        assertEquals(expected, message);
    }

    /** Guards against a key that is read into the wrong setting. */
    @Test
    void eachKeySetsItsSetting() throws Exception {
        MembershipConfig config = read("{'name':'f','member':'me','bind':'127.0.0.1:1','advertise':'127.0.0.2:2',"
                + "'zone':'a','role':'r','periodMs':100,'answerMs':11,'askers':12,'suspicionPeriods':13,"
                + "'suspicionMost':14,'confirmations':15,'healthMost':16,'spread':17,'syncMs':1800,'forgetMs':1900,"
                + "'mostMembers':20,'seeds':['127.0.0.3:3']}");
        assertEquals(
                "me 127.0.0.2:2 a r 100000 11000 12 13 14 15 16 17 1800000 1900000 20 880 [127.0.0.3:3]",
                values(config.settings()));
    }

    /** Values of all record components, in order of declaration. */
    private static String values(MembershipSettings settings) throws Exception {
        StringJoiner values = new StringJoiner(" ");
        for (RecordComponent component : MembershipSettings.class.getRecordComponents()) {
            values.add(String.valueOf(component.getAccessor().invoke(settings)));
        }
        return values.toString();
    }

    @Test
    void nonLoopbackAddressIsAcceptedWithFlag() throws Exception {
        assertEquals(
                "10.0.0.1:7946",
                read("{'name':'f','bind':'10.0.0.1:7946','beyondLoopback':true}")
                        .settings()
                        .address());
    }
}
