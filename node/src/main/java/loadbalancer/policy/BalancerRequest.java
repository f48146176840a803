package loadbalancer.policy;

/**
 * A client's request.
 *
 * @param id unique among the open requests
 * @param classIndex index into {@link BalancerSettings#classes}
 * @param tenant index into {@link BalancerSettings#tenants}, or -1
 * @param remainingUs time from its arrival until the client gives up on this attempt of its own
 * @param workUs rough expected work on a standard core; 0 if unknown
 * @param retry true if the client is known to have sent it before
 * @param key what the request is about, or null
 * @param waitedUs how long ago it may have arrived, where the reader was delayed
 */
public record BalancerRequest(
        long id, int classIndex, int tenant, long remainingUs, long workUs, boolean retry, String key, long waitedUs) {
    /** A request that is reported as it arrives. */
    public BalancerRequest(
            long id, int classIndex, int tenant, long remainingUs, long workUs, boolean retry, String key) {
        this(id, classIndex, tenant, remainingUs, workUs, retry, key, 0);
    }
}
