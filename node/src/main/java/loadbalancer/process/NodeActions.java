package loadbalancer.process;

import io.netty.handler.codec.http.HttpResponseStatus;
import loadbalancer.common.Log;
import loadbalancer.discovery.EndpointWatcher;
import loadbalancer.policy.BalancerActions;
import loadbalancer.request.HealthCheck;
import loadbalancer.request.RequestServices;
import loadbalancer.request.RequestTable;

/**
 * Carries out the balancer's decisions on sockets and timers. It makes no decisions.
 *
 * <p>The balancer calls it on the event loop, while the balancer handles an event.
 */
final class NodeActions implements BalancerActions {
    private final RequestServices services;
    private final RequestTable requests;
    private final EndpointWatcher discovery;
    private final WakeTimer wakeTimer;

    NodeActions(RequestServices services, RequestTable requests, EndpointWatcher discovery, WakeTimer wakeTimer) {
        this.services = services;
        this.requests = requests;
        this.discovery = discovery;
        this.wakeTimer = wakeTimer;
    }

    @Override
    public void send(long requestId, String serverId, long startByUs, long endByUs) {
        requests.startAttempt(requestId, serverId, startByUs, endByUs);
    }

    @Override
    public void cancel(long requestId, int attempt) {
        requests.cancelAttempt(requestId, attempt);
    }

    @Override
    public void reject(long requestId, long retryAfterUs) {
        requests.respond(requestId, HttpResponseStatus.SERVICE_UNAVAILABLE, retryAfterUs);
    }

    @Override
    public void fail(long requestId) {
        requests.respond(requestId, HttpResponseStatus.BAD_GATEWAY, 0);
    }

    @Override
    public void wakeAt(long atUs) {
        wakeTimer.schedule(atUs);
    }

    @Override
    public void probe(String serverId) {
        new HealthCheck(serverId, services).start();
    }

    @Override
    public void closeIdle(String serverId) {
        services.pool().closeIdle(serverId);
    }

    @Override
    public void subscribe() {
        discovery.subscribe();
    }

    @Override
    public void ejected(String serverId, int failures, String className) {
        Log.info("server_ejected", "server", serverId, "failures", failures, "class", className);
    }

    @Override
    public void restored(String serverId, String className) {
        Log.info("server_restored", "server", serverId, "class", className);
    }
}
