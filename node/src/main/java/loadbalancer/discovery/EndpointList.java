package loadbalancer.discovery;

import java.util.List;

/**
 * A list of app servers as the discovery service gives it: a complete snapshot, or what changed since an earlier
 * version.
 *
 * @param version the version of the list; versions only grow
 * @param full whether the list holds all servers, or only those that changed
 * @param endpoints the servers, in the order of the list
 */
public record EndpointList(long version, boolean full, List<Endpoint> endpoints) {
    private static final EndpointList EMPTY = new EndpointList(0, true, List.of());

    /** The list of a node that knows no server yet: any list of the discovery service is newer. */
    public static EndpointList empty() {
        return EMPTY;
    }

    /** A list that says that nothing has changed since this version. */
    static EndpointList unchangedSince(long version) {
        return new EndpointList(version, false, List.of());
    }
}
