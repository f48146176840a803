package loadbalancer.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import loadbalancer.policy.BalancerSettings;
import loadbalancer.policy.DeduplicationScope;
import loadbalancer.policy.Idempotency;
import loadbalancer.policy.LoadReportField;
import loadbalancer.policy.RequestClass;
import loadbalancer.policy.Tenant;
import loadbalancer.settings.SettingsReader;
import org.junit.jupiter.api.Test;

/** The names on the simulator's wire and in its settings, byte for byte. */
class WireBytesTest {

    @Test
    void eachActionIsWrittenAsOneLine() throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        WireLineWriter writer = new WireLineWriter(out);
        writer.setNode("node-3");
        writer.send(0xb7c6f2075d3a91c4L, "10.0.0.7:8003", 7, 1_240_000);
        writer.send(1, "s\u00e9", Long.MAX_VALUE, 0);
        writer.cancel(2, 10);
        writer.reject(3, 0);
        writer.reject(3, 250_000);
        writer.fail(4);
        writer.wakeAt(99);
        writer.probe("a:1");
        writer.closeIdle("b:2");
        writer.subscribe();
        writer.ejected("s\n1", 4, null);
        writer.ejected("s1", 4, "view");
        writer.restored("s1", null);
        writer.restored("s1", "view");
        writer.fault("gone\r");
        writer.flush();
        assertEquals("""
                route node=node-3 handle=b7c6f2075d3a91c4 server=10.0.0.7:8003 untilUs=1240000
                route node=node-3 handle=0000000000000001 server=s\u00e9 untilUs=0
                abort_attempt node=node-3 handle=0000000000000002 seqNo=10
                decline node=node-3 handle=0000000000000003
                decline node=node-3 handle=0000000000000003 retryInUs=250000
                lose node=node-3 handle=0000000000000004
                remind node=node-3 dueAtUs=99 label=w
                sound_out node=node-3 server=a:1
                drop_conns node=node-3 server=b:2
                track node=node-3 want=1
                record node=node-3 noteText=ejected server s 1 after 4 failures
                record node=node-3 noteText=ejected server s1 after 4 failures of class view
                record node=node-3 noteText=restored server s1
                record node=node-3 noteText=restored server s1 for a class
                fault node=node-3 noteText=gone\s
                next
                """, out.toString(StandardCharsets.UTF_8));
    }

    @Test
    void eachSettingIsReadByItsName() throws Exception {
        BalancerSettings settings = SettingsReader.read(Map.ofEntries(
                Map.entry("balancers", "9"),
                Map.entry("me", "4"),
                Map.entry("zones", "east,west"),
                Map.entry("myZone", "west"),
                Map.entry("classes.count", "3"),
                Map.entry("classes.0.name", "view"),
                Map.entry("classes.0.onTimeUs", "1"),
                Map.entry("classes.0.aimStretch", "2.5"),
                Map.entry("classes.0.giveUpUs", "3"),
                Map.entry("classes.0.importance", "4"),
                Map.entry("classes.0.lateWorth", "0.5"),
                Map.entry("classes.0.repeat", "keyed"),
                Map.entry("classes.0.group", "cell"),
                Map.entry("classes.0.windowUs", "6"),
                Map.entry("classes.0.stream", "true"),
                Map.entry("classes.1.name", "a"),
                Map.entry("classes.1.onTimeUs", "1"),
                Map.entry("classes.1.giveUpUs", "2"),
                Map.entry("classes.1.repeat", "safe"),
                Map.entry("classes.2.name", "b"),
                Map.entry("classes.2.onTimeUs", "1"),
                Map.entry("classes.2.giveUpUs", "2"),
                Map.entry("classes.2.repeat", "unsafe"),
                Map.entry("classes.2.group", "zone"),
                Map.entry("realms.count", "1"),
                Map.entry("realms.0.name", "t"),
                Map.entry("countedBy", "work"),
                Map.entry("limits.attemptsCap", "7"),
                Map.entry("limits.parallelTries", "1"),
                Map.entry("limits.cancelling", "true"),
                Map.entry("limits.probes", "1"),
                Map.entry("limits.retryAfter", "1"),
                Map.entry("limits.maxRetryAfterUs", "8"),
                Map.entry("quantumUs", "10"),
                Map.entry("limits.dialTimeoutUs", "11"),
                Map.entry("membershipMode", "on_request"),
                Map.entry("rules.askWithinUs", "12"),
                Map.entry("rules.drainGraceUs", "13"),
                Map.entry("rules.coldFrom", "0.25"),
                Map.entry("rules.coldUs", "14"),
                Map.entry("rules.overloadFactor", "3.5"),
                Map.entry("rules.fallUs", "15"),
                Map.entry("costs.crossZone", "0.125"),
                Map.entry("extra.warmKeys", "true"),
                Map.entry("report.fields", "concurrent,depth,load_share,mean_ms,tps,err_ps,odd")));
        assertEquals(9, settings.nodes);
        assertEquals(4, settings.nodeIndex);
        assertEquals(List.of("east", "west"), settings.zones);
        assertEquals(1, settings.localZone);
        assertEquals(
                List.of(
                        new RequestClass(
                                "view",
                                1,
                                2.5,
                                3,
                                4,
                                0.5,
                                Idempotency.IDEMPOTENT_WITH_KEY,
                                DeduplicationScope.CELL,
                                6,
                                true),
                        new RequestClass("a", 1, 0, 2, 1, 0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, false),
                        new RequestClass(
                                "b", 1, 0, 2, 1, 0, Idempotency.NON_IDEMPOTENT, DeduplicationScope.ZONE, 0, false)),
                settings.classes);
        assertEquals(List.of(new Tenant("t")), settings.tenants);
        assertEquals(true, settings.weightByWork);
        assertEquals(7, settings.maxAttempts);
        assertEquals(true, settings.hedging);
        assertEquals(true, settings.cancellation);
        assertEquals(true, settings.probes);
        assertEquals(8, settings.maxRetryAfterUs);
        assertEquals(10, settings.tickUs);
        assertEquals(11, settings.connectTimeoutUs);
        assertEquals(true, settings.pollsEndpointList);
        assertEquals(12, settings.pollIntervalUs);
        assertEquals(13, settings.drainGraceUs);
        assertEquals(0.25, settings.warmUpInitialShare);
        assertEquals(14, settings.warmUpUs);
        assertEquals(3.5, settings.overloadMultiple);
        assertEquals(15, settings.overloadUs);
        assertEquals(0.125, settings.crossZoneCost);
        assertEquals(true, settings.keyAffinity);
        assertEquals(List.of(LoadReportField.values()), settings.reportFields);
    }

    /** Sends every type of event to one node and compares the complete response. */
    @Test
    void eachEventIsRead() throws Exception {
        String in = """
                begin_batch timeUs=1000000
                boot node=n initSeed=5 classes.count=1 classes.0.name=view classes.0.giveUpUs=500000 \
                classes.0.onTimeUs=100000 classes.0.repeat=safe limits.cancelling=1 limits.attemptsCap=3 \
                membershipMode=on_request realms.count=1 realms.0.name=r report.fields=concurrent zones=z
                roster setId=2 nodesList=3
                server server=a:1 site=z block=0 lifecycle=Running scale=1
                server server=b:2 site=z block=1 lifecycle=Stopping scale=1 sinceUs=5
                server server=c:3 site=z lifecycle=Running scale=1
                topology node=n setId=2 generation=1 kind=stale_copy
                topology node=n setId=2 generation=2 kind=whole
                work_item node=n handle=00000000000000ff lane=view realm=r patienceLeftUs=240000 workUs=9 resent=1 \
                routeKey=k
                work_item node=n handle=00000000000000fe lane=view realm=0 patienceLeftUs=240000
                work_item node=n handle=00000000000000fd lane=view patienceLeftUs=240000
                eob
                begin_batch timeUs=1010000
                resolved node=n handle=00000000000000ff latencyUs=10000 rc=20 seqNo=0 metrics=3
                resolved node=n handle=00000000000000fe latencyUs=10000 rc=10 seqNo=0 ended=1 metrics=2
                first_byte node=n handle=00000000000000fd seqNo=0
                client_gone node=n handle=00000000000000fd
                topology node=n setId=2 kind=broken
                topology node=n setId=2 generation=3 kind=patch
                echo node=n server=a:1 rc=10 latencyUs=5 metrics=1
                memo node=n
                bell node=n label=w
                shutdown node=n
                eob
                """;
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new SimulatorConnection(new ByteArrayInputStream(in.getBytes(StandardCharsets.UTF_8)), out).run();
        assertEquals("""
                track node=n want=1
                remind node=n dueAtUs=6000000 label=w
                route node=n handle=00000000000000ff server=c:3 untilUs=1240000
                route node=n handle=00000000000000fe server=a:1 untilUs=1240000
                route node=n handle=00000000000000fd server=a:1 untilUs=1240000
                next
                route node=n handle=00000000000000ff server=a:1 untilUs=1240000
                abort_attempt node=n handle=00000000000000fd seqNo=0
                remind node=n dueAtUs=1221758 label=w
                next
                """, out.toString(StandardCharsets.UTF_8));
    }
}
