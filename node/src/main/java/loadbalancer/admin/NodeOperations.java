package loadbalancer.admin;

/** The operations of a node that operators can call. Called on the event loop of the node. */
public interface NodeOperations {
    /** Returns whether this process serves clients. */
    boolean isServing();

    /** Returns all metrics, one per line, each line with its line break. */
    String metrics();

    /**
     * Cordons or uncordons a server. A cordoned server receives no new requests from any process of the node, once each
     * of them has read the change.
     *
     * @return the delay in milliseconds after which all processes of the node normally respect a new cordon; 0 if
     *     cordons are not shared, and 0 if a cordon ends, although the other processes follow that later too
     * @throws RejectedCallException if the change is rejected; nothing is passed on to the balancer
     */
    long setCordoned(String serverId, boolean cordoned) throws RejectedCallException;
}
