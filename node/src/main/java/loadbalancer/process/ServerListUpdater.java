package loadbalancer.process;

import loadbalancer.admin.CordonStore;
import loadbalancer.admin.RejectedCallException;
import loadbalancer.common.Log;
import loadbalancer.discovery.Endpoint;
import loadbalancer.discovery.EndpointList;
import loadbalancer.discovery.EndpointWatcher;
import loadbalancer.policy.ListKind;
import loadbalancer.request.RequestServices;

/**
 * Hands each change of the servers on to the server pool and to the balancer: the endpoint list of discovery, and the
 * cordons of the operators.
 *
 * <p>Used on the event loop only.
 */
final class ServerListUpdater implements EndpointWatcher.Listener {
    /** By then any other process of this node has refreshed its cordons, even after a short stall. */
    static final long CORDON_PROPAGATION_MILLIS = 2 * Housekeeping.INTERVAL_MILLIS;

    private final RequestServices services;
    private final CordonStore cordons;

    ServerListUpdater(RequestServices services, CordonStore cordons) {
        this.services = services;
        this.cordons = cordons;
    }

    @Override
    public void onEndpointList(EndpointList list) {
        update(list, list.full() ? ListKind.FULL : ListKind.CHANGES);
    }

    @Override
    public void onWatchFailed(String reason) {
        Log.warn("watch_failed", "reason", reason);
        services.events()
                .submit(balancer -> balancer.onListFailed(services.clock().nowUs()));
    }

    /** Takes the list that the node starts with, which may be old. */
    void loadCached(EndpointList list) {
        update(list, ListKind.CACHED);
    }

    /**
     * The pool is updated first, as the balancer sends to new servers at once. The pool closes connections to draining
     * servers, and the attempts that this ends are reported to the balancer after the list: otherwise it would retry
     * them on the same servers.
     */
    private void update(EndpointList list, ListKind kind) {
        services.events().submit(balancer -> {
            services.pool().update(list);
            cordons.onEndpointList(list);
            balancer.onServers(
                    services.clock().nowUs(),
                    kind,
                    list.endpoints().stream().map(Endpoint::server).toList());
        });
    }

    /**
     * Cordons a server, or ends its cordon.
     *
     * @return after how many milliseconds all processes of the node follow it: another process finds out with its next
     *     refresh
     * @throws RejectedCallException if the change cannot be made; nothing has changed then
     */
    long setCordoned(String serverId, boolean cordoned) throws RejectedCallException {
        cordons.setCordoned(serverId, cordoned);
        Log.info(cordoned ? "server_cordoned" : "server_uncordoned", "server", serverId);
        publishCordons();
        return cordoned && cordons.isShared() ? CORDON_PROPAGATION_MILLIS : 0;
    }

    /** Follows the cordons that another process of this node has changed. */
    void refreshCordons() {
        if (cordons.refresh()) {
            publishCordons();
        }
    }

    private void publishCordons() {
        services.events().submit(balancer -> {
            services.pool().setCordoned(cordons.cordonedIds());
            balancer.onCordoned(services.clock().nowUs(), cordons.cordonedIds());
        });
    }
}
