package loadbalancer.policy;

/**
 * A client's request.
 *
 * @param id unique among the open requests
 * @param classIndex index into {@link BalancerSettings#classes}
 * @param tenant index into {@link BalancerSettings#tenants}, or -1
 * @param remainingUs time from arrival until the client gives up on this attempt
 * @param workUs rough expected work on a standard core, in microseconds; 0 if unknown
 * @param retry true if the client is known to have sent the request before
 * @param key identifies the data that the request uses, for key affinity; or null
 * @param waitedUs how long ago the request may have arrived, if reading it was delayed
 */
public record BalancerRequest(
        long id, int classIndex, int tenant, long remainingUs, long workUs, boolean retry, String key, long waitedUs) {
    /** Creates a request that is reported on arrival. */
    public BalancerRequest(
            long id, int classIndex, int tenant, long remainingUs, long workUs, boolean retry, String key) {
        this(id, classIndex, tenant, remainingUs, workUs, retry, key, 0);
    }
}
