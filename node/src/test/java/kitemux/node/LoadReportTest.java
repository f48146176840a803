package kitemux.node;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.lang.reflect.Proxy;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import kitemux.Balancer;
import kitemux.Balancer.ReportField;
import kitemux.ServiceQBalancer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class LoadReportTest {
    private static final List<ReportField> FIELDS = List.of(ReportField.QUEUED, ReportField.IN_FLIGHT);

    @Test
    void figuresComeInTheOrderOfTheSettings() {
        assertArrayEquals(new double[] {2, 7.5}, LoadReport.decode("TEXT concurrent=7.5, depth=2", FIELDS));
        assertArrayEquals(new double[] {2, 7}, LoadReport.decode("TEXT inflight=7, queue=2, util=0.61, new=1", FIELDS));
        assertArrayEquals(new double[] {Double.NaN, 7}, LoadReport.decode("TEXT concurrent=7", FIELDS));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "TEXT", "TEXT ", "JSON {}", "TEXT concurrent", "TEXT depth=", "TEXT depth=x"})
    void whatCannotBeReadIsNoReport(String text) {
        assertNull(LoadReport.decode(text, FIELDS));
    }

    @Test
    void noneIsReadWhereTheSettingsNameNone() {
        assertNull(LoadReport.decode("TEXT concurrent=7", List.of()));
        assertNull(LoadReport.decode(null, FIELDS));
    }

    /** Also a report that cannot be read: the answer that it came with counts all the same. */
    @Test
    void theModuleHearsOfTheReportWithTheAnswer() throws Exception {
        BlockingQueue<Balancer.Outcome> outcomes = new LinkedBlockingQueue<>();
        String[] reports = {"TEXT depth=1, concurrent=9", "TEXT depth=?"};
        try (FarServer server = new FarServer((request, peer) -> peer.write(Http.answer(
                        "200 OK", "X-Pressure: " + reports["/api/a".equals(request.path()) ? 0 : 1] + "\r\n", "x")));
                Site site = Site.quiet()) {
            site.settings.reportFields.addAll(FIELDS);
            site.module = actions -> {
                Balancer sound = new ServiceQBalancer(site.settings, 7, actions);
                return (Balancer) Proxy.newProxyInstance(
                        Balancer.class.getClassLoader(), new Class<?>[] {Balancer.class}, (proxy, method, args) -> {
                            if (args.length == 2 && args[1] instanceof Balancer.Outcome outcome) {
                                outcomes.add(outcome);
                            }
                            return method.invoke(sound, args);
                        });
            };
            site.start(server);
            assertEquals("x", site.ask(Http.page("/api/a", "t", "4000m")).body());
            assertArrayEquals(new double[] {1, 9}, FarServer.next(outcomes).report());
            assertEquals("x", site.ask(Http.page("/api/b", "u", "4000m")).body());
            assertNull(FarServer.next(outcomes).report());
        }
    }
}
