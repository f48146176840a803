package loadbalancer.policy;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;

/**
 * A seeded stream of events for one balancer, as caused by a node whose servers restart, fail, hang, drain and become
 * overloaded. Every action is written as a line of text; {@link #digest} is the SHA-256 of all lines.
 *
 * <p>The lines contain only words of this class, so that renaming the balancer's types does not change a digest.
 */
final class DecisionStream implements BalancerActions {

    /** Behaviour of the balancer that a stream has triggered; each stream asserts the kinds it is meant to trigger. */
    enum Covered {
        RETRY,
        HEDGE,
        QUEUED_THEN_SENT,
        REJECTED,
        REJECTED_AS_LOWEST_VALUE,
        FAILED,
        CANCELLED,
        CLOSED_IDLE,
        POLLED,
        EJECTED,
        EJECTED_FOR_CLASS,
        RESTORED,
        RESTORED_FOR_CLASS,
        TRIAL_REQUEST,
        SENT_TO_WARMING,
        OTHER_ZONE,
        DEDUPLICATION_BOUND,
        FIRST_BYTE,
        CLIENT_LEFT,
        CORDONED,
        SETTINGS_CHANGED,
        LATE_WAKE_UP,
        SHED_ON_ARRIVAL
    }

    /** How a simulated server behaves. */
    private enum Fault {
        NONE,
        ERRORS,
        CLASS_ERRORS,
        HANG,
        UNREACHABLE,
        RESETS,
        OVERLOADED
    }

    /** The parameters that differ between streams. */
    record StreamParameters(
            int nodes,
            int servers,
            int zones,
            double crossZoneCost,
            boolean keys,
            boolean reports,
            boolean cancel,
            boolean hedges,
            boolean poll,
            int maxAttempts,
            int maxOpen,
            boolean weightByWork) {}

    private static final long START_US = 5_000_000;
    private static final long PHASE_US = 4_000_000;
    private static final long ARRIVALS_END_US = START_US + 20 * PHASE_US;
    private static final long END_US = ARRIVALS_END_US + 5_000_000;
    private static final long NEVER = Long.MAX_VALUE;

    private static final class SimulatedServer {
        final String id;
        final int zone;
        final int cell;
        ServerState state = ServerState.READY;
        long startedAtUs;
        Fault fault = Fault.NONE;
        int inFlight;
        double backgroundLoad;

        SimulatedServer(String id, int zone, int cell) {
            this.id = id;
            this.zone = zone;
            this.cell = cell;
        }

        ServerEntry entry() {
            return new ServerEntry(id, zone, cell, state, 1, startedAtUs);
        }
    }

    private static final class Attempt {
        final SimulatedServer server;
        final long sentAtUs;
        boolean ended;

        Attempt(SimulatedServer server, long sentAtUs) {
            this.server = server;
            this.sentAtUs = sentAtUs;
        }
    }

    private static final class OpenRequest {
        final int classIndex;
        final List<Attempt> attempts = new ArrayList<>();
        boolean ended;
        boolean streaming;

        OpenRequest(int classIndex) {
            this.classIndex = classIndex;
        }
    }

    private record Event(long atUs, long order, Runnable action) {}

    private final StreamParameters parameters;
    private final SplittableRandom random;
    private final BalancerSettings settings;
    private final Balancer balancer;
    private final MessageDigest sha256;
    private final StringBuilder lines = new StringBuilder();
    private final Map<Covered, Integer> covered = new EnumMap<>(Covered.class);
    private final Map<String, SimulatedServer> servers = new LinkedHashMap<>();
    private final Map<Long, OpenRequest> requests = new LinkedHashMap<>();
    private final Set<String> ejected = new TreeSet<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atUs).thenComparingLong(Event::order));
    private long now = START_US;
    private long order;
    private long nextId = 1;
    private long arriving = -1;
    private double load = 1;
    private boolean clientsLeaveEarly;

    DecisionStream(StreamParameters parameters, long seed) {
        this.parameters = parameters;
        random = new SplittableRandom(seed);
        settings = settings(false);
        try {
            sha256 = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
        balancer = new ServiceQBalancer(settings, seed, this);
    }

    private BalancerSettings settings(boolean changed) {
        BalancerSettings settings = new BalancerSettings();
        settings.nodes = parameters.nodes;
        settings.nodeIndex = parameters.nodes / 3;
        for (int zone = 0; zone < parameters.zones; zone++) {
            settings.zones.add("zone" + zone);
        }
        settings.crossZoneCost = parameters.crossZoneCost;
        settings.keyAffinity = parameters.keys;
        settings.cancellation = parameters.cancel;
        settings.hedging = parameters.hedges;
        settings.pollsEndpointList = parameters.poll;
        settings.maxAttempts = parameters.maxAttempts;
        settings.maxOpen = parameters.maxOpen;
        settings.weightByWork = parameters.weightByWork;
        settings.maxRetryAfterUs = parameters.poll ? 2_000_000 : 0;
        settings.warmUpUs = 6_000_000;
        settings.tickUs = 2_000;
        settings.tenants.add(new Tenant("tenant"));
        if (parameters.reports) {
            settings.reportFields.addAll(List.of(LoadReportField.UTILISATION, LoadReportField.IN_FLIGHT));
        }
        settings.classes.add(new RequestClass(
                "read", 150_000, 0, 900_000, 1, 0.4, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, false));
        settings.classes.add(new RequestClass(
                "order",
                250_000,
                2,
                1_500_000,
                4,
                0.5,
                Idempotency.IDEMPOTENT_WITH_KEY,
                DeduplicationScope.ZONE,
                changed ? 200_000 : 400_000,
                false));
        settings.classes.add(new RequestClass(
                "note",
                200_000,
                0,
                700_000,
                2,
                0,
                Idempotency.IDEMPOTENT_WITH_KEY,
                DeduplicationScope.ALL,
                300_000,
                false));
        settings.classes.add(new RequestClass(
                "cell",
                200_000,
                0,
                700_000,
                2,
                0.3,
                Idempotency.IDEMPOTENT_WITH_KEY,
                DeduplicationScope.CELL,
                300_000,
                false));
        settings.classes.add(new RequestClass(
                "pay",
                300_000,
                0,
                2_000_000,
                changed ? 8 : 6,
                0.7,
                Idempotency.NON_IDEMPOTENT,
                DeduplicationScope.ALL,
                0,
                false));
        if (changed) {
            settings.classes.add(new RequestClass(
                    "read", 100_000, 0, 600_000, 1, 0.2, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, true));
        }
        return settings;
    }

    /** Runs all phases and returns the digest of the balancer's actions. */
    String digest() {
        for (int i = 0; i < parameters.servers; i++) {
            servers.put("s" + i, new SimulatedServer("s" + i, i % parameters.zones, i % (2 * parameters.zones)));
        }
        balancer.onServers(now, ListKind.CACHED, entries());
        schedulePhases();
        scheduleArrival();
        while (!events.isEmpty() && events.peek().atUs < END_US) {
            Event event = events.poll();
            now = Math.max(now, event.atUs);
            event.action.run();
            line("left out", Integer.toString(balancer.excludedServers()));
        }
        flush();
        return HexFormat.of().formatHex(sha256.digest());
    }

    Map<Covered, Integer> covered() {
        return covered;
    }

    // ---------------------------------------------------------------- phases of a stream

    private void schedulePhases() {
        List<Runnable> phases = List.of(
                () -> faults(Fault.ERRORS, 0.2),
                () -> load = 4,
                () -> restart(0.3),
                () -> faults(Fault.CLASS_ERRORS, 0.2),
                () -> faults(Fault.HANG, 0.25),
                () -> cordon(0.2),
                () -> load = 7,
                () -> faults(Fault.OVERLOADED, 0.9),
                this::changeSettings,
                () -> faults(Fault.UNREACHABLE, 0.45),
                () -> drain(0.3),
                () -> load = 2.5,
                () -> faults(Fault.RESETS, 0.3),
                () -> restart(0.4),
                this::fullList,
                () -> faults(Fault.ERRORS, 0.8),
                () -> clientsLeaveEarly = true,
                () -> {
                    load = 0.4;
                    faults(Fault.HANG, 0.15);
                });
        long at = START_US + PHASE_US;
        for (Runnable phase : phases) {
            at(at, phase);
            at(at + PHASE_US / 2, this::endPhase);
            at += PHASE_US;
        }
        long end = at;
        for (long poll = START_US + 700_000; poll < end; poll += 900_000) {
            at(poll, () -> balancer.onListFailed(now));
        }
        for (long atUs = START_US; atUs < end; atUs += 50_000) {
            at(atUs, this::varyBackgroundLoad);
        }
    }

    private void endPhase() {
        load = 1;
        clientsLeaveEarly = false;
        servers.values().forEach(server -> server.fault = Fault.NONE);
        balancer.onCordoned(now, Set.of());
        List<ServerEntry> changes = new ArrayList<>();
        for (SimulatedServer server : servers.values()) {
            if (server.state != ServerState.READY) {
                server.state = ServerState.READY;
                server.startedAtUs = now;
                changes.add(server.entry());
            }
        }
        balancer.onServers(now, ListKind.CHANGES, changes);
    }

    private void faults(Fault fault, double share) {
        servers.values().forEach(server -> server.fault = random.nextDouble() < share ? fault : Fault.NONE);
    }

    private void restart(double share) {
        List<ServerEntry> changes = new ArrayList<>();
        for (SimulatedServer server : servers.values()) {
            if (random.nextDouble() < share) {
                server.startedAtUs = now;
                changes.add(server.entry());
            }
        }
        balancer.onServers(now, ListKind.CHANGES, changes);
    }

    private void drain(double share) {
        List<ServerEntry> changes = new ArrayList<>();
        for (SimulatedServer server : servers.values()) {
            if (random.nextDouble() < share) {
                server.state = random.nextBoolean() ? ServerState.DRAINING : ServerState.GONE;
                changes.add(server.entry());
            }
        }
        balancer.onServers(now, ListKind.CHANGES, changes);
    }

    private void fullList() {
        servers.values().stream().limit(parameters.servers / 4).forEach(server -> server.state = ServerState.GONE);
        balancer.onServers(now, ListKind.FULL, entries());
    }

    private List<ServerEntry> entries() {
        return servers.values().stream()
                .filter(server -> server.state != ServerState.GONE)
                .map(SimulatedServer::entry)
                .toList();
    }

    private void cordon(double share) {
        Set<String> cordoned = new TreeSet<>();
        servers.keySet().forEach(id -> {
            if (random.nextDouble() < share) {
                cordoned.add(id);
            }
        });
        markCovered(Covered.CORDONED);
        balancer.onCordoned(now, cordoned);
    }

    private void changeSettings() {
        markCovered(Covered.SETTINGS_CHANGED);
        balancer.onSettings(now, settings(true));
    }

    private void varyBackgroundLoad() {
        servers.values()
                .forEach(server -> server.backgroundLoad = Math.max(
                        0,
                        server.backgroundLoad
                                + (random.nextDouble() - 0.5) * 3
                                + (2 * load - server.backgroundLoad) / 8));
    }

    // ---------------------------------------------------------------- requests and responses

    private void scheduleArrival() {
        long gap = (long) (1 + random.nextInt(12_000) / load);
        if (now + gap < ARRIVALS_END_US) {
            at(now + gap, () -> {
                arrive();
                scheduleArrival();
            });
        }
    }

    private void arrive() {
        long id = nextId++;
        int draw = random.nextInt(20);
        int classIndex = draw < 10 ? 0 : draw < 13 ? 1 : draw < 15 ? 2 : draw < 17 ? 3 : 4;
        boolean retry = random.nextInt(10) == 0;
        long deadlineUs = settings.classes.get(classIndex).deadlineUs();
        long remainingUs = retry ? deadlineUs / 2 : deadlineUs * 2 / 3;
        String key = random.nextInt(5) == 0 ? null : "key" + random.nextInt(80);
        long waitedUs = random.nextInt(50) == 0 ? random.nextInt(300_000) : 0;
        requests.put(id, new OpenRequest(classIndex));
        arriving = id;
        balancer.onRequest(
                now,
                new BalancerRequest(
                        id,
                        classIndex,
                        random.nextInt(2) - 1,
                        remainingUs,
                        random.nextInt(20_000),
                        retry,
                        key,
                        waitedUs));
        arriving = -1;
        if (random.nextInt(clientsLeaveEarly ? 2 : 25) == 0) {
            at(now + random.nextInt(clientsLeaveEarly ? 120_000 : 400_000), () -> clientLeaves(id));
        }
    }

    private void clientLeaves(long id) {
        OpenRequest request = requests.get(id);
        if (request != null && !request.ended) {
            request.ended = true;
            markCovered(Covered.CLIENT_LEFT);
            balancer.onClientGone(now, id);
        }
    }

    @Override
    public void send(long requestId, String serverId, long startByUs, long endByUs) {
        OpenRequest request = requests.get(requestId);
        SimulatedServer server = servers.get(serverId);
        int number = request.attempts.size();
        line("send", requestId + " " + serverId + " " + startByUs + " " + endByUs);
        markSendCovered(requestId, request, server, startByUs);
        Attempt attempt = new Attempt(server, now);
        request.attempts.add(attempt);
        server.inFlight++;
        AttemptResult result = result(server, request.classIndex);
        long durationUs = latencyUs(server, result);
        if (result == AttemptResult.TIMEOUT || now + durationUs >= endByUs) {
            at(endByUs, () -> finish(requestId, request, number, AttemptResult.TIMEOUT));
            return;
        }
        if (result == AttemptResult.OK && random.nextInt(15) == 0) {
            at(now + durationUs / 2, () -> firstByte(requestId, request, number));
        }
        at(now + durationUs, () -> finish(requestId, request, number, result));
    }

    private void markSendCovered(long requestId, OpenRequest request, SimulatedServer server, long startByUs) {
        if (!request.attempts.isEmpty()) {
            markCovered(request.attempts.stream().allMatch(attempt -> attempt.ended) ? Covered.RETRY : Covered.HEDGE);
        } else if (arriving != requestId) {
            markCovered(Covered.QUEUED_THEN_SENT);
        }
        if (ejected.contains(server.id)) {
            markCovered(Covered.TRIAL_REQUEST);
        }
        if (server.startedAtUs > 0 && now < server.startedAtUs + settings.warmUpUs) {
            markCovered(Covered.SENT_TO_WARMING);
        }
        if (server.zone != settings.localZone) {
            markCovered(Covered.OTHER_ZONE);
        }
        if (startByUs != NEVER) {
            markCovered(Covered.DEDUPLICATION_BOUND);
        }
    }

    private AttemptResult result(SimulatedServer server, int classIndex) {
        boolean fails = random.nextInt(10) < 7;
        if (random.nextInt(150) == 0) {
            return AttemptResult.MOOT;
        }
        return switch (server.fault) {
            case ERRORS -> fails ? AttemptResult.ERROR : AttemptResult.OK;
            case CLASS_ERRORS -> fails && classIndex == 1 ? AttemptResult.ERROR : AttemptResult.OK;
            case HANG -> fails ? AttemptResult.TIMEOUT : AttemptResult.OK;
            case UNREACHABLE -> AttemptResult.CONNECT_FAILED;
            case RESETS -> fails ? AttemptResult.RESET : AttemptResult.OK;
            case OVERLOADED -> fails ? AttemptResult.FULL : AttemptResult.OK;
            case NONE -> server.inFlight > 20 ? AttemptResult.FULL : AttemptResult.OK;
        };
    }

    private long latencyUs(SimulatedServer server, AttemptResult result) {
        if (result != AttemptResult.OK) {
            return 500 + random.nextInt(3_000);
        }
        double concurrent = 1 + server.inFlight + server.backgroundLoad;
        return (long) (4_000 + 9_000 * concurrent * (0.3 + 1.4 * random.nextDouble()));
    }

    private void firstByte(long requestId, OpenRequest request, int number) {
        if (!request.ended && !request.attempts.get(number).ended && !request.streaming) {
            request.streaming = true;
            markCovered(Covered.FIRST_BYTE);
            balancer.onFirstByte(now, requestId, number);
        }
    }

    private void finish(long requestId, OpenRequest request, int number, AttemptResult result) {
        Attempt attempt = request.attempts.get(number);
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        attempt.server.inFlight--;
        if (result == AttemptResult.OK || request.streaming && result != AttemptResult.CANCELLED) {
            request.ended = true;
        }
        LoadReport report = parameters.reports && (result == AttemptResult.OK || result == AttemptResult.ERROR)
                ? LoadReport.of(0.5, attempt.server.inFlight + Math.floor(attempt.server.backgroundLoad * 2))
                : null;
        balancer.onOutcome(
                now, new AttemptOutcome(requestId, number, result, now - attempt.sentAtUs, request.ended, report));
    }

    @Override
    public void cancel(long requestId, int attempt) {
        line("cancel", requestId + " " + attempt);
        markCovered(Covered.CANCELLED);
        OpenRequest request = requests.get(requestId);
        at(now + 1 + random.nextInt(200), () -> finish(requestId, request, attempt, AttemptResult.CANCELLED));
    }

    @Override
    public void reject(long requestId, long retryAfterUs) {
        line("reject", requestId + " " + retryAfterUs);
        markCovered(Covered.REJECTED);
        if (arriving == requestId) {
            markCovered(Covered.SHED_ON_ARRIVAL);
        } else if (arriving >= 0) {
            markCovered(Covered.REJECTED_AS_LOWEST_VALUE);
        }
        requests.get(requestId).ended = true;
    }

    @Override
    public void fail(long requestId) {
        line("fail", Long.toString(requestId));
        markCovered(Covered.FAILED);
        requests.get(requestId).ended = true;
    }

    @Override
    public void wakeAt(long atUs) {
        line("wake", Long.toString(atUs));
        boolean late = random.nextInt(400) == 0;
        if (late) {
            markCovered(Covered.LATE_WAKE_UP);
        }
        at(atUs + (late ? 80_000 : random.nextInt(300)), () -> balancer.onWake(now));
    }

    @Override
    public void probe(String serverId) {
        throw new AssertionError("no probes are allowed");
    }

    @Override
    public void closeIdle(String serverId) {
        line("close idle", serverId);
        markCovered(Covered.CLOSED_IDLE);
    }

    @Override
    public void subscribe() {
        line("poll", "");
        markCovered(Covered.POLLED);
    }

    @Override
    public void ejected(String serverId, int failures, String className) {
        line("log", FakeNode.ejection(serverId, failures, className));
        markCovered(className == null ? Covered.EJECTED : Covered.EJECTED_FOR_CLASS);
        ejected.add(serverId);
    }

    @Override
    public void restored(String serverId, String className) {
        line("log", FakeNode.restoration(serverId, className));
        markCovered(className == null ? Covered.RESTORED : Covered.RESTORED_FOR_CLASS);
        ejected.remove(serverId);
    }

    // ---------------------------------------------------------------- time and lines

    private void at(long atUs, Runnable action) {
        events.add(new Event(atUs, order++, action));
    }

    private void markCovered(Covered kind) {
        covered.merge(kind, 1, Integer::sum);
    }

    private void line(String action, String detail) {
        lines.append(now).append(' ').append(action).append(' ').append(detail).append('\n');
        if (lines.length() > 1 << 16) {
            flush();
        }
    }

    private void flush() {
        sha256.update(lines.toString().getBytes(StandardCharsets.UTF_8));
        lines.setLength(0);
    }
}
