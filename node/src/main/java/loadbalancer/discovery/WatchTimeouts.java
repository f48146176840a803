package loadbalancer.discovery;

/**
 * After which time a watch has failed.
 *
 * @param firstMessageUs it has not been connected and answered
 * @param silenceUs once it has been answered: nothing has come
 * @param lagUs its lists have been older than what the node knows; the node then takes what there is
 */
public record WatchTimeouts(long firstMessageUs, long silenceUs, long lagUs) {
    /**
     * The discovery service answers at once and writes every 2 s. The node must follow a change within 6 s, within 4 s
     * after a move: in this time a silent watch has to be found, and another one to be opened and answered.
     */
    public static final WatchTimeouts DEFAULT = new WatchTimeouts(1_500_000, 4_500_000, 6_000_000);
}
