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
 * Passes changes of the endpoint list and of the operators' cordons on to the server pool and the balancer.
 *
 * <p>All methods run on the event loop.
 */
final class ServerListUpdater implements EndpointWatcher.Listener {
    /**
     * Time within which another process of this node reads a new cordon. Two housekeeping intervals, so that a stall of
     * that process of up to one interval is covered.
     */
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

    /** Applies the list of the configuration file, which may be old. */
    void loadCached(EndpointList list) {
        update(list, ListKind.CACHED);
    }

    /**
     * Updates the pool before the balancer, because the balancer sends requests to new servers at once. The pool closes
     * the idle connections to a draining server and ends the attempts that wait for a connection to it. The update of
     * pool and balancer is one event, so the outcomes of these attempts reach the balancer after the list. Otherwise it
     * would retry them on the same servers.
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
     * @return how many milliseconds it takes until all processes of the node respect a new cordon, because another
     *     process reads it at its next refresh; 0 if the cordon is not shared, or if a cordon ends
     * @throws RejectedCallException if the change cannot be made; nothing is passed on to the pool and the balancer
     */
    long setCordoned(String serverId, boolean cordoned) throws RejectedCallException {
        cordons.setCordoned(serverId, cordoned);
        Log.info(cordoned ? "server_cordoned" : "server_uncordoned", "server", serverId);
        publishCordons();
        return cordoned && cordons.isShared() ? CORDON_PROPAGATION_MILLIS : 0;
    }

    /** Reads and applies cordons that another process of this node has changed. */
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
