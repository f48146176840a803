package loadbalancer.simulator;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.AttemptResult;
import loadbalancer.policy.Balancer;
import loadbalancer.policy.BalancerRequest;
import loadbalancer.policy.ListKind;
import loadbalancer.policy.LoadReport;
import loadbalancer.policy.ServerEntry;

/**
 * Decodes each event for a balancer into a function that delivers it. Decoding and delivery are separate steps because
 * their errors are handled differently: a line that cannot be decoded throws a {@link WireException}, which ends the
 * adapter; an exception thrown by the balancer is reported to the simulator as a fault.
 */
final class BalancerEventDecoder {
    private final WireLineReader reader;
    private final Rosters rosters;

    BalancerEventDecoder(WireLineReader reader, Rosters rosters) {
        this.reader = reader;
        this.rosters = rosters;
    }

    /**
     * Decodes the event on the current line.
     *
     * @throws WireException if a field is missing or invalid, or the type is not an event for a balancer
     */
    Consumer<Balancer> decode(EventType type, SimulatedNode node, long nowUs) throws WireException {
        return switch (type) {
            case ATTEMPT_ENDED -> decodeOutcome(nowUs);
            case REQUEST -> decodeRequest(node, nowUs);
            case WAKE -> balancer -> balancer.onWake(nowUs);
            case ENDPOINT_LIST -> decodeEndpointList(node, nowUs);
            case CLIENT_GONE -> decodeClientGone(nowUs);
            case FIRST_BYTE -> decodeFirstByte(nowUs);
            case PROBE_ENDED -> decodeProbe(nowUs);
            case NOTE -> balancer -> {};
            default -> throw reader.invalid("unknown event " + reader.name());
        };
    }

    private Consumer<Balancer> decodeOutcome(long nowUs) throws WireException {
        AttemptOutcome outcome = new AttemptOutcome(
                reader.requiredId(WireNames.REQUEST_ID),
                (int) reader.requiredLong(WireNames.ATTEMPT),
                decodeResult(),
                reader.longOrDefault(WireNames.LATENCY_US, 0),
                reader.flag(WireNames.STREAM_ENDED),
                decodeLoadReport());
        return balancer -> balancer.onOutcome(nowUs, outcome);
    }

    private Consumer<Balancer> decodeRequest(SimulatedNode node, long nowUs) throws WireException {
        String tenant = reader.textOrNull(WireNames.TENANT);
        boolean hasTenant = tenant != null && !tenant.equals(WireNames.NO_TENANT);
        BalancerRequest request = new BalancerRequest(
                reader.requiredId(WireNames.REQUEST_ID),
                index(node.classIndices(), WireNames.CLASS, reader.requiredText(WireNames.CLASS)),
                hasTenant ? index(node.tenantIndices(), WireNames.TENANT, tenant) : -1,
                reader.requiredLong(WireNames.REMAINING_US),
                reader.longOrDefault(WireNames.WORK_US, 0),
                reader.flag(WireNames.REPEATED),
                reader.textOrNull(WireNames.KEY));
        return balancer -> balancer.onRequest(nowUs, request);
    }

    private int index(Map<String, Integer> indices, String field, String name) throws WireException {
        Integer index = indices.get(name);
        if (index == null) {
            throw reader.invalidField(field, "is not in the settings: " + name);
        }
        return index;
    }

    private Consumer<Balancer> decodeEndpointList(SimulatedNode node, long nowUs) throws WireException {
        String kind = reader.requiredText(WireNames.LIST_KIND);
        if (kind.equals(WireNames.KIND_FAILED)) {
            return balancer -> balancer.onListFailed(nowUs);
        }
        ListKind listKind = switch (kind) {
            case WireNames.KIND_CHANGES -> ListKind.CHANGES;
            case WireNames.KIND_FULL -> ListKind.FULL;
            case WireNames.KIND_CACHED -> ListKind.CACHED;
            default -> throw reader.invalidField(WireNames.LIST_KIND, "is unknown: " + kind);
        };
        List<ServerEntry> servers = rosters.servers(reader, node);
        return balancer -> balancer.onServers(nowUs, listKind, servers);
    }

    private Consumer<Balancer> decodeClientGone(long nowUs) throws WireException {
        long requestId = reader.requiredId(WireNames.REQUEST_ID);
        return balancer -> balancer.onClientGone(nowUs, requestId);
    }

    private Consumer<Balancer> decodeFirstByte(long nowUs) throws WireException {
        long requestId = reader.requiredId(WireNames.REQUEST_ID);
        int attempt = (int) reader.requiredLong(WireNames.ATTEMPT);
        return balancer -> balancer.onFirstByte(nowUs, requestId, attempt);
    }

    private Consumer<Balancer> decodeProbe(long nowUs) throws WireException {
        String serverId = reader.requiredText(WireNames.SERVER_ID);
        AttemptResult result = decodeResult();
        long latencyUs = reader.longOrDefault(WireNames.LATENCY_US, 0);
        LoadReport report = decodeLoadReport();
        return balancer -> balancer.onProbe(nowUs, serverId, result, latencyUs, report);
    }

    private LoadReport decodeLoadReport() throws WireException {
        double[] values = reader.doublesOrNull(WireNames.LOAD_REPORT);
        return values == null ? null : LoadReport.of(values);
    }

    private AttemptResult decodeResult() throws WireException {
        long code = reader.requiredLong(WireNames.RESULT);
        return switch ((int) code) {
            case WireNames.RESULT_OK -> AttemptResult.OK;
            case WireNames.RESULT_ERROR -> AttemptResult.ERROR;
            case WireNames.RESULT_FULL -> AttemptResult.FULL;
            case WireNames.RESULT_TIMEOUT -> AttemptResult.TIMEOUT;
            case WireNames.RESULT_CONNECT_FAILED -> AttemptResult.CONNECT_FAILED;
            case WireNames.RESULT_RESET -> AttemptResult.RESET;
            case WireNames.RESULT_CANCELLED -> AttemptResult.CANCELLED;
            case WireNames.RESULT_MOOT -> AttemptResult.MOOT;
            default -> throw reader.invalidField(WireNames.RESULT, "is unknown: " + code);
        };
    }
}
