package loadbalancer.harness.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * What the platform does to the processes of a node in a soak, drawn from its seed: limits, stops, and clients that use
 * up the descriptors.
 *
 * @param descriptors the limit of file descriptors that the configuration tells
 * @param enforced whether the system enforces that limit
 * @param deadlineShare the share of the usual deadlines of all classes
 * @param ordinaryClients how many clients send one request at a time
 * @param stops when the processes are stopped, in order of time
 * @param idleCrowds the clients that connect and send nothing, in order of time
 * @param bursts the clients that connect to send one request each, in order of time
 */
record NodeFaults(
        int descriptors,
        boolean enforced,
        double deadlineShare,
        int ordinaryClients,
        List<Stop> stops,
        List<Arrivals> idleCrowds,
        List<Arrivals> bursts) {
    /** The limit of descriptors on scored days, and that of the smallest nodes. */
    private static final int[] DESCRIPTORS = {256, 256, 320, 512, 1_024};

    /** The shortest makes the deadlines 140, 233 and 303 ms. */
    private static final double[] DEADLINE_SHARES = {1, 0.5, 0.117, 0.117};

    /** Clients hold no more than a third of the descriptors for their requests: 85 of the smallest limit. */
    private static final int[] ORDINARY_CLIENTS = {14, 14, 40, 70};

    private static final int MAX_BURST_CLIENTS = 85;
    private static final int DEFAULT_DESCRIPTORS = 1_024;
    private static final int DEFAULT_CLIENTS = 14;
    private static final int STOP_SERIES_INTERVAL_MS = 3_000;
    private static final int MIN_STOP_MS = 20;
    private static final int MAX_STOP_MS = 300;
    private static final int MAX_ALLOWED_STOP_MS = 150;
    private static final int IDLE_INTERVAL_MS = 3_000;
    private static final int MIN_IDLE_CLIENTS = 100;
    private static final int MAX_IDLE_CLIENTS = 600;
    private static final int BURST_INTERVAL_MS = 1_500;

    /** No limit that the system enforces, no stops, and the usual clients and deadlines. */
    static final NodeFaults NONE =
            new NodeFaults(DEFAULT_DESCRIPTORS, false, 1, DEFAULT_CLIENTS, List.of(), List.of(), List.of());

    /** Returns no faults but stops that are as long as the platform may hold up a process. */
    static NodeFaults onlyShortStops(long seed, int lengthMs) {
        List<Stop> stops = stops(new SplittableRandom(~seed), lengthMs).stream()
                .map(stop -> new Stop(stop.atMs, Math.min(stop.lengthMs, MAX_ALLOWED_STOP_MS)))
                .toList();
        return new NodeFaults(DEFAULT_DESCRIPTORS, false, 1, DEFAULT_CLIENTS, stops, List.of(), List.of());
    }

    /**
     * A time in which the processes do not run.
     *
     * @param atMs since the start of the soak
     * @param lengthMs how long they are stopped
     */
    record Stop(int atMs, int lengthMs) {}

    /**
     * Clients that connect at the same time.
     *
     * @param atMs since the start of the soak
     * @param clients how many they are
     */
    record Arrivals(int atMs, int clients) {}

    /** Draws faults for a soak of this length. */
    static NodeFaults of(long seed, int lengthMs) {
        SplittableRandom random = new SplittableRandom(~seed);
        return new NodeFaults(
                DESCRIPTORS[random.nextInt(DESCRIPTORS.length)],
                true,
                DEADLINE_SHARES[random.nextInt(DEADLINE_SHARES.length)],
                ORDINARY_CLIENTS[random.nextInt(ORDINARY_CLIENTS.length)],
                random.nextInt(4) == 0 ? List.of() : stops(random, lengthMs),
                random.nextInt(4) == 0
                        ? List.of()
                        : arrivals(random, lengthMs, IDLE_INTERVAL_MS, MIN_IDLE_CLIENTS, MAX_IDLE_CLIENTS),
                random.nextInt(4) == 0
                        ? List.of()
                        : arrivals(random, lengthMs, BURST_INTERVAL_MS, 1, MAX_BURST_CLIENTS));
    }

    private static List<Stop> stops(SplittableRandom random, int lengthMs) {
        List<Stop> stops = new ArrayList<>();
        for (int seriesMs = 0; seriesMs < lengthMs; seriesMs += STOP_SERIES_INTERVAL_MS) {
            int atMs = seriesMs + random.nextInt(STOP_SERIES_INTERVAL_MS / 2);
            int stopsInSeries = 1 + random.nextInt(4);
            for (int i = 0; i < stopsInSeries; i++) {
                Stop stop = new Stop(atMs, MIN_STOP_MS + random.nextInt(MAX_STOP_MS - MIN_STOP_MS));
                stops.add(stop);
                atMs += stop.lengthMs + random.nextInt(MAX_STOP_MS);
            }
        }
        return stops;
    }

    private static List<Arrivals> arrivals(
            SplittableRandom random, int lengthMs, int intervalMs, int minClients, int maxClients) {
        List<Arrivals> arrivals = new ArrayList<>();
        for (int atMs = 0; atMs < lengthMs; atMs += intervalMs) {
            arrivals.add(new Arrivals(
                    atMs + random.nextInt(intervalMs), minClients + random.nextInt(maxClients - minClients + 1)));
        }
        return arrivals;
    }

    /** Returns a class of requests with the deadline that it has in this soak. */
    RequestKind scale(RequestKind kind) {
        return new RequestKind(kind.name(), kind.idempotent(), (int) Math.round(kind.remainingMs() * deadlineShare));
    }

    /** Returns a command that runs the given one under the limit of descriptors. */
    String limit(String command) {
        return enforced ? "ulimit -n " + descriptors + "; " + command : command;
    }
}
