package loadbalancer.harness.soak;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;

/**
 * All that happens in a soak, drawn from its seed.
 *
 * @param seed the seed
 * @param lengthMs how long ordinary clients send
 * @param phases what the servers do, in order of time; the first one starts at 0
 * @param crowds the clients that send much at once, in order of time
 * @param replacementsAtMs when the process is replaced
 * @param faults what the platform does to the processes
 * @param transferClients how many clients have their requests read, or their responses written, slowly
 */
public record SoakPlan(
        long seed,
        int lengthMs,
        List<ServerPhase> phases,
        List<Crowd> crowds,
        List<Integer> replacementsAtMs,
        NodeFaults faults,
        int transferClients) {
    /** The number of servers. */
    static final int SERVERS = 8;

    private static final int TRANSFER_CLIENTS = 12;
    private static final int PHASE_MS = 1_500;
    private static final int FIRST_CROWD_MS = 500;
    private static final int CROWD_INTERVAL_MS = 2_500;
    /** Bounds what all clients of a crowd write: the soak shares the machine with the node. */
    private static final long MAX_CROWD_BYTES = 96L << 20;

    private static final int MAX_STAYING_CLIENTS = 30;
    private static final int MAX_STAYING_REQUESTS = 30;
    private static final int MAX_STAYING_BODY_BYTES = 14_000;

    private static final int[] CROWD_CLIENTS = {1, 1, 10, 30, 100, 300};
    private static final int[] REQUESTS_AHEAD = {0, 0, 3, 30, 300, 3_000, 50_000};
    private static final int[] BODY_BYTES = {0, 0, 0, 2_000, 14_000, 60_000, 100_000, 200_000};
    private static final Departure[] DEPARTURES = {
        Departure.CLOSE, Departure.CLOSE, Departure.CLOSE, Departure.HALF_CLOSE, Departure.RESET, Departure.STAY
    };

    /**
     * The mode of each server from a time on.
     *
     * @param fromMs since the start of the soak
     * @param modes by the number of the server
     */
    record ServerPhase(int fromMs, List<ServerMode> modes) {}

    /**
     * Clients that come at the same time and send requests without waiting for responses.
     *
     * @param atMs when they connect
     * @param clients how many they are
     * @param requestsAhead how many requests each sends behind its first one
     * @param bodyBytes the size of each request's body; 0 makes it a GET
     * @param unsentShare the share of the last request that is not sent
     * @param leaveAfterMs when they leave, since they connected
     * @param departure how they leave
     * @param returning whether each sends its first requests again after it has left, with the same ids
     */
    record Crowd(
            int atMs,
            int clients,
            int requestsAhead,
            int bodyBytes,
            double unsentShare,
            int leaveAfterMs,
            Departure departure,
            boolean returning) {
        /** Returns the kind of a request of this crowd, by its position on the connection. */
        RequestKind kind(int position) {
            if (bodyBytes == 0) {
                return RequestKind.SEARCH;
            }
            // Responses come in order, so that all requests of a client that stays need the same time.
            return position % 2 == 0 || departure == Departure.STAY ? RequestKind.REPORT : RequestKind.ORDER;
        }
    }

    /** Describes the crowds and the replacements, a line each. */
    public String describe() {
        StringBuilder text = new StringBuilder("replaced at " + replacementsAtMs + "\n");
        crowds.forEach(crowd -> text.append(crowd).append('\n'));
        phases.forEach(phase -> text.append(phase).append('\n'));
        text.append(faults)
                .append("\ntransfer clients ")
                .append(transferClients)
                .append('\n');
        return text.toString();
    }

    /** Draws a plan in which the platform also stops and limits the processes. */
    public static SoakPlan withNodeFaults(long seed, int lengthMs) {
        SoakPlan plan = of(seed, lengthMs);
        return new SoakPlan(
                seed, lengthMs, plan.phases, plan.crowds, plan.replacementsAtMs, NodeFaults.of(seed, lengthMs), 0);
    }

    /**
     * Draws a plan with slow transfers. Every third seed has the crowds and the phases of the servers as well; in the
     * others all servers serve. On every second seed the processes are stopped now and then.
     */
    public static SoakPlan withSlowTransfers(long seed, int lengthMs) {
        SoakPlan plan = of(seed, lengthMs);
        boolean withCrowds = seed % 3 == 0;
        List<ServerPhase> serving = List.of(new ServerPhase(0, Collections.nCopies(SERVERS, ServerMode.SERVE)));
        return new SoakPlan(
                seed,
                lengthMs,
                withCrowds ? plan.phases : serving,
                withCrowds ? plan.crowds : List.of(),
                plan.replacementsAtMs,
                seed % 2 == 0 ? NodeFaults.onlyShortStops(seed, lengthMs) : NodeFaults.NONE,
                TRANSFER_CLIENTS);
    }

    /** Draws a plan in which the platform does nothing to the processes but replace them. */
    public static SoakPlan of(long seed, int lengthMs) {
        SplittableRandom random = new SplittableRandom(seed);
        List<ServerPhase> phases = new ArrayList<>();
        for (int fromMs = 0; fromMs < lengthMs; fromMs += PHASE_MS) {
            phases.add(new ServerPhase(fromMs, modes(random)));
        }
        List<Crowd> crowds = new ArrayList<>();
        for (int atMs = FIRST_CROWD_MS; atMs < lengthMs; atMs += CROWD_INTERVAL_MS) {
            crowds.add(crowd(random, atMs + random.nextInt(CROWD_INTERVAL_MS / 2)));
        }
        List<Integer> replacements = new ArrayList<>();
        if (random.nextInt(3) > 0) {
            replacements.add(lengthMs / 4 + random.nextInt(lengthMs / 4));
            if (random.nextBoolean()) {
                replacements.add(lengthMs * 3 / 4);
            }
        }
        return new SoakPlan(seed, lengthMs, phases, crowds, replacements, NodeFaults.NONE, 0);
    }

    private static List<ServerMode> modes(SplittableRandom random) {
        List<ServerMode> modes = new ArrayList<>();
        int pattern = random.nextInt(4);
        for (int i = 0; i < SERVERS; i++) {
            modes.add(
                    switch (pattern) {
                        case 0 -> ServerMode.SERVE;
                        case 1 -> i == 0 ? ServerMode.REJECT_LATE : ServerMode.REJECT_AT_ONCE;
                        case 2 -> random.nextBoolean() ? ServerMode.SERVE : ServerMode.REJECT_LATE;
                        default -> ServerMode.values()[random.nextInt(ServerMode.values().length)];
                    });
        }
        return modes;
    }

    private static Crowd crowd(SplittableRandom random, int atMs) {
        int clients = CROWD_CLIENTS[random.nextInt(CROWD_CLIENTS.length)];
        int ahead = REQUESTS_AHEAD[random.nextInt(REQUESTS_AHEAD.length)];
        int body = BODY_BYTES[random.nextInt(BODY_BYTES.length)];
        long bytesOfRequest = body + Wire.HEAD_BYTES;
        long affordable = MAX_CROWD_BYTES / clients / bytesOfRequest;
        Departure departure = DEPARTURES[random.nextInt(DEPARTURES.length)];
        int requestsAhead = (int) Math.min(ahead, affordable);
        if (departure == Departure.STAY) {
            // All of them have to be answered in the time of one.
            clients = Math.min(clients, MAX_STAYING_CLIENTS);
            requestsAhead = Math.min(requestsAhead, MAX_STAYING_REQUESTS);
            body = Math.min(body, MAX_STAYING_BODY_BYTES);
        }
        double unsent = departure != Departure.STAY && random.nextInt(3) == 0 ? random.nextDouble() : 0;
        return new Crowd(
                atMs, clients, requestsAhead, body, unsent, 10 + random.nextInt(690), departure, random.nextInt(3) > 0);
    }
}
