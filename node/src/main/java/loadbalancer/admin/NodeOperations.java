package loadbalancer.admin;

/** What operators can ask of a node. Called on the event loop of the node. */
public interface NodeOperations {
    /** Whether this process serves clients. */
    boolean isServing();

    /** All metrics, a line each. */
    String metrics();

    /**
     * Cordons a server, which then gets nothing new from any process of this node, or ends its cordon.
     *
     * @return the delay in milliseconds after which all processes of this node follow
     * @throws RejectedCallException if the change was not made
     */
    long setCordoned(String serverId, boolean cordoned) throws RejectedCallException;
}
