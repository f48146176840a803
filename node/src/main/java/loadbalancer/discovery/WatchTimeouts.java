package loadbalancer.discovery;

/**
 * The timeouts after which a watch has failed, in microseconds.
 *
 * @param firstMessageUs the time from the start of connecting to the first complete list or heartbeat
 * @param silenceUs after the first list or heartbeat: the time without any received data
 * @param maxLagUs for how long the lists of a watch may be older than the known version. The next watch then requests
 *     all servers and accepts any version.
 */
public record WatchTimeouts(long firstMessageUs, long silenceUs, long maxLagUs) {
    /**
     * The timeouts of a node. The discovery service responds immediately and sends a message every 2 s. The node must
     * follow a change within 6 s, or within 4 s after a move. Within this time it has to detect a silent watch, open
     * another one and receive its first message.
     */
    public static final WatchTimeouts DEFAULT = new WatchTimeouts(1_500_000, 4_500_000, 6_000_000);
}
