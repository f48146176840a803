package loadbalancer.admin;

/** The operations of a node that operators can call. Called on the event loop of the node. */
public interface NodeOperations {
    /** Returns whether this process serves clients. */
    boolean isServing();

    /** Returns all metrics, one per line, each line with its line break. */
    String metrics();

    /**
     * Cordons or uncordons a server. A cordoned server receives no new requests from any process of the node.
     *
     * @return the delay in milliseconds after which all processes of the node follow the change
     * @throws RejectedCallException if the change is rejected; the cordon of the server is unchanged
     */
    long setCordoned(String serverId, boolean cordoned) throws RejectedCallException;
}
