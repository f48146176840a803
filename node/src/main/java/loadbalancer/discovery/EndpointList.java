package loadbalancer.discovery;

import java.util.List;

/**
 * A list of app servers from the discovery service or from the configuration file: either all servers or the changes
 * since an earlier version.
 *
 * @param version the version of the list; a newer list has a higher version
 * @param full true if the list holds all servers, false if it holds only those that changed
 * @param endpoints the servers, in the order in which they were received
 */
public record EndpointList(long version, boolean full, List<Endpoint> endpoints) {
    private static final EndpointList EMPTY = new EndpointList(0, true, List.of());

    /** Returns an empty full list with version 0, so that any list of the discovery service is accepted after it. */
    public static EndpointList empty() {
        return EMPTY;
    }

    /** Returns a list of changes that is empty: nothing has changed since the given version. */
    static EndpointList unchangedSince(long version) {
        return new EndpointList(version, false, List.of());
    }
}
