package loadbalancer.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Every decision of the load balancer. Its interface stands in {@code Balancer.java}.
 *
 * <p>The ordinary path is ServiceQ's: a failed attempt adds one to its server's error count, a success
 * clears it; a first try draws two servers by weights that fall with the count and goes to the one with
 * fewer of this node's own requests in flight; a failure that may be repeated passes to the next server
 * in list order; when nothing can be tried the request waits, first come first served, inside the
 * client's time. Departures are marked "Exception" and explained below.
 */
public final class ServiceQBalancer implements Balancer {

    /** How often a drawn server that may not be sent to is drawn again: to look through all took much CPU. */
    private static final int REDRAWS = 15;
    /** Draws by key, some turned down by weight: three left a burst waiting, sixteen spread it. */
    private static final int KEY_DRAWS = 8;
    /** Shortest sweep over waiting requests; long against the cost of a sweep, short against any aim. */
    private static final long MIN_SWEEP_US = 5_000;

    /** A waiting request is too late with so many usual latencies left to its aim, or this share at most. */
    private static final double TOO_LATE_AT = 2;

    private static final double MOST_LATE_AT = 0.8;

    /** Failed trials of all ejected servers: this share of first tries, and so many at once. */
    private static final double TRIAL_SHARE = 0.05;

    private static final double MOST_TRIALS = 4;
    /** Trials with unsafe requests are this much further apart: each that fails is lost. */
    private static final int UNSAFE_TRIALS = 4;
    /** Failures in a row from which on a last resort rests, up to about the time that an answer takes, as if
     * it held its place so long: one that serves three in ten fails so many in one of seventeen runs, one
     * that serves none always. */
    private static final int RESTS_AFTER = ServerHealth.HISTORY_LENGTH / 2;
    /** Times the usual latency of its class after which an attempt is silent: one in fifty takes longer. */
    private static final double SILENT_BY = 4;
    /** Retry budget of hedges: this share of first tries, and so many at once. */
    private static final double HEDGE_SHARE = 0.2;

    private static final double MOST_HEDGES = 20;
    /** Own requests in flight from which on a local server is compared with those of other zones. */
    private static final int SPILL_AT = 2;

    /** Nodes that share a server from which on a node counts as state.manyNodesPerServer: with fewer it lost more. */
    private static final double SPARSE_FROM = 20;
    /** The same in the table that keys draw from; it changes only as the fleet doubles, as keys move then. */
    private static final int KEY_PLACES = 16;
    /** Waiting requests with a key drawn for in vain at each event and each sweep: more took too much CPU. */
    private static final int KEYS_TRIED = 4;

    private static final int KEYS_SWEPT = 64;

    private final BalancerState state = new BalancerState();
    private final BalancerActions out;
    private final SplittableRandom random;
    private final EndpointListRefresh endpointListRefresh;
    private final WakeUpTimer wakeUpTimer;
    private final LoadReports loadReports;
    private final SlowStart slowStart;
    private final RequestPriority priority;
    private final OnTimeRatio onTimeRatio = new OnTimeRatio();
    private final AdmissionController admissionController;
    private final ConcurrencyLimiter limiter;
    private final ServerEligibility eligibility;
    private final ErrorCounter errorCounter = new ErrorCounter(state);
    private final OutlierDetector outlierDetector;
    private long sweepUs;

    private final Map<String, ServerRecord> byId = new HashMap<>();
    private final Set<ServerRecord> listed = new LinkedHashSet<>();

    private Map<String, Long> cordons = Map.of();
    private final SubsetSelector subsetSelector = new SubsetSelector(state);
    private double largestEffect = 1;
    private double hedgesLeft = MOST_HEDGES;
    private double trialsLeft = MOST_TRIALS;

    private final Map<Long, PendingRequest> requests = new HashMap<>();
    private final ArrayList<PendingRequest> waiting = new ArrayList<>();

    private long now;
    private final PerClass<ClassLatency> latencies = new PerClass<>(ClassLatency::new);
    private final PerClass<ArrayDeque<AttemptId>> watched = new PerClass<>(ArrayDeque::new);
    private final PendingRequestFactory requestFactory = new PendingRequestFactory();

    /** A node that has just started and knows nothing; throws IllegalArgumentException on bad settings. */
    public ServiceQBalancer(BalancerSettings settings, long seed, BalancerActions actions) {
        out = actions;
        random = new SplittableRandom(seed);
        endpointListRefresh = new EndpointListRefresh(state, random, actions);
        wakeUpTimer = new WakeUpTimer(actions);
        loadReports = new LoadReports(state, settings.reportFields.indexOf(LoadReportField.IN_FLIGHT));
        slowStart = new SlowStart(state);
        priority = new RequestPriority(state, latencies);
        admissionController = new AdmissionController(state, onTimeRatio, priority, random);
        limiter = new ConcurrencyLimiter(state, latencies, priority, onTimeRatio, slowStart, loadReports);
        eligibility = new ServerEligibility(loadReports, limiter, slowStart);
        outlierDetector = new OutlierDetector(state, random, actions);
        follow(settings);
        shareAmong(state.settings.nodes);
    }

    private void follow(BalancerSettings settings) {
        settings.validate();
        state.settings = settings;
        sweepUs = Math.max(MIN_SWEEP_US, 2 * state.settings.tickUs);
        loadReports.applySettings(settings);
        latencies.extendTo(state.settings.classes);
        watched.extendTo(state.settings.classes);
        requestFactory.addClasses(state.settings.classes);
        byId.values().forEach(server -> server.classHealth.extendTo(state.settings.classes));
    }

    @Override
    public void onSettings(long nowUs, BalancerSettings settings) {
        now = nowUs;
        follow(settings);
        chooseServers();
        carryOn();
    }

    private void shareAmong(double nodes) {
        state.nodesPerServer = nodes;
        limiter.onNodesPerServer(nodes);
        state.manyNodesPerServer = nodes > SPARSE_FROM;
    }

    // ---------------------------------------------------------------- the server list

    @Override
    public void onServers(long nowUs, ListKind kind, List<ServerEntry> entries) {
        now = nowUs;
        if (kind != ListKind.CHANGES) {
            listed.forEach(server -> server.state = ServerState.GONE);
            listed.clear();
        }
        for (ServerEntry entry : entries) {
            ServerRecord server = byId.computeIfAbsent(entry.id(), ServerRecord::new);
            server.classHealth.extendTo(state.settings.classes);
            if (entry.state() == ServerState.GONE) {
                listed.remove(server);
            } else {
                listed.add(server);
            }
            if (entry.startedAtUs() > server.startedAtUs) {
                // A new process: what was counted against the old one says nothing of it.
                onRestarted(server, entry.startedAtUs());
            }
            server.state = entry.state();
            server.zone = entry.zone();
            server.cell = entry.cell();
        }
        chooseServers();
        // Servers come and go as long as a node runs: what is gone and holds nothing is forgotten.
        byId.values().removeIf(server -> server.state == ServerState.GONE && server.inFlight == 0);
        endpointListRefresh.onList(kind, now);
        carryOn();
    }

    @Override
    public void onCordoned(long nowUs, Set<String> serverIds) {
        now = nowUs;
        Map<String, Long> since = new HashMap<>();
        serverIds.forEach(id -> since.put(id, cordons.getOrDefault(id, now)));
        // What is back has most likely been restarted meanwhile: now, unless the list has told when.
        listed.stream()
                .filter(s -> !since.containsKey(s.id) && s.startedAtUs < cordons.getOrDefault(s.id, 0L))
                .forEach(server -> onRestarted(server, now));
        cordons = since;
        chooseServers();
        carryOn();
    }

    @Override
    public int excludedServers() {
        return outlierDetector.ejectedServers().size()
                + (int) listed.stream().filter(s -> cordons.containsKey(s.id)).count();
    }

    private void chooseServers() {
        ServerRecord[] before = state.servers;
        slowStart.onServersChosen(now);
        state.servers = inUse(listed.stream()
                .filter(s -> s.state == ServerState.READY && !cordons.containsKey(s.id))
                .toArray(ServerRecord[]::new));
        Arrays.stream(before).forEach(server -> server.inUse = false);
        for (int i = 0; i < state.servers.length; i++) {
            state.servers[i].position = i;
            state.servers[i].inUse = true;
            limiter.assignFirstLimit(state.servers[i], now);
            slowStart.assignFirstSlot(state.servers[i], random, now);
        }
        Arrays.stream(before).forEach(this::closeIfUnused);
        state.allServers = weighted(state.servers);
        state.localServers = state.settings.crossZoneCost == 0
                ? state.allServers
                : weighted(Arrays.stream(state.servers).filter(this::isNear).toArray(ServerRecord[]::new));
        outlierDetector.refresh();
    }

    private WeightedServers weighted(ServerRecord[] servers) {
        ServerRecord[] keyPlaces = !state.settings.keyAffinity || servers.length == 0
                ? new ServerRecord[0]
                : MaglevTable.build(servers, KEY_PLACES * Integer.highestOneBit(servers.length), 1);
        return new WeightedServers(servers, keyPlaces);
    }

    private void leave(ServerRecord server) {
        server.inFlight--;
        state.totalInFlight -= state.isCounted(server) ? 1 : 0;
        closeIfUnused(server);
    }

    /** Connections to a server no longer in use would hold its places for the nodes that do use it. */
    private void closeIfUnused(ServerRecord server) {
        if (!server.inUse && server.inFlight == 0) {
            out.closeIdle(server.id);
        }
    }

    private ServerRecord[] inUse(ServerRecord[] all) {
        ServerRecord[] used = subsetSelector.select(all);
        shareAmong(Math.max(1, (double) state.settings.nodes * used.length / Math.max(1, all.length)));
        return used;
    }

    private boolean isNear(ServerRecord server) {
        return server.zone == state.settings.localZone;
    }

    @Override
    public void onListFailed(long nowUs) {
        now = nowUs;
        if (state.settings.pollsEndpointList) {
            endpointListRefresh.onListFailed(now);
            scheduleWake();
        }
    }

    // ---------------------------------------------------------------- requests and outcomes

    @Override
    public void onRequest(long nowUs, BalancerRequest arrival) {
        now = nowUs;
        if (arrival.classIndex() < 0
                || arrival.classIndex() >= state.settings.classes.size()
                || arrival.tenant() >= state.settings.tenants.size()
                || requests.containsKey(arrival.id())) {
            throw new IllegalArgumentException("unknown class or tenant, or an id that is held: " + arrival);
        }
        PendingRequest request = requestFactory.create(arrival, state.settings, now);
        requests.put(arrival.id(), request);
        request.value = priority.valueOf(request.requestClass.priorityWeight(), arrival.classIndex());
        boolean turnedDown = admissionController.sheds(request);
        // Nobody waits for the same server, or those who do are tried with each answer.
        boolean first = !turnedDown && (waiting.isEmpty() || request.hasKey() && !isLate(request));
        ServerRecord server = first && now < request.deadlineAtUs ? drawForFirstTry(request) : null;
        if (server != null) {
            send(request, server);
        } else if (turnedDown) {
            giveUp(request);
        } else {
            defer(request);
            serveWaiting(KEYS_TRIED);
        }
        scheduleWake();
    }

    @Override
    public void onOutcome(long nowUs, AttemptOutcome outcome) {
        now = nowUs;
        PendingRequest request = requests.get(outcome.requestId());
        int attempt = outcome.attempt();
        if (request == null || attempt < 0 || attempt >= request.attempts || request.results[attempt] != null) {
            return;
        }
        ServerRecord server = request.servers[attempt];
        AttemptResult result = outcome.result();
        request.results[attempt] = result;
        request.outstanding--;
        if (attempt != request.boundAttempt) {
            leave(server);
        }
        loadReports.record(server, outcome, now);
        ServerHealth ofClass = server.classHealth.get(request.classIndex);
        if (result == AttemptResult.OK) {
            onSuccess(
                    server,
                    ofClass,
                    state.manyNodesPerServer
                            && latencies.get(request.classIndex).isSlow(outcome.latencyUs()));
        } else if (result != AttemptResult.CANCELLED
                && result != AttemptResult.MOOT
                && !request.countedAsFailure[attempt]) {
            // A time-out of a server that has answered since tells of crowding, as being full does.
            onFailure(
                    server,
                    ofClass,
                    result != AttemptResult.FULL
                            && (result != AttemptResult.TIMEOUT || ofClass.answeredAtUs < request.sentAtUs[attempt]));
        }
        boolean answered = result == AttemptResult.OK || result == AttemptResult.ERROR;
        ofClass.answeredAtUs = answered ? now : ofClass.answeredAtUs;
        server.health.answeredAtUs = answered ? now : server.health.answeredAtUs;
        server.lastAttemptAnswered |= answered;
        if (!request.isBound()) {
            recordLoad(request, attempt, outcome);
        }
        if (outcome.requestEnded()) {
            end(request);
        } else if (!request.isEnded() && request.outstanding == 0) {
            passOn(request, server);
        }
        forgetIfOver(request);
        carryOn();
    }

    @Override
    public void onFirstByte(long nowUs, long requestId, int attempt) {
        now = nowUs;
        PendingRequest request = requests.get(requestId);
        if (request != null && !request.isBound() && request.results[attempt] == null) {
            // What flows at the pace of its two ends is no work that the server holds.
            leave(request.servers[attempt]);
            request.boundAttempt = attempt;
            cancel(request, attempt);
        }
    }

    @Override
    public void onClientGone(long nowUs, long requestId) {
        now = nowUs;
        PendingRequest request = requests.get(requestId);
        if (request != null) {
            request.clientGone = true;
            end(request);
        }
    }

    @Override
    public void onWake(long nowUs) {
        now = nowUs;
        boolean paused = wakeUpTimer.onWake(now);
        endpointListRefresh.onWake(now);
        if (!paused) {
            lookForSilence();
        }
        serveWaiting(KEYS_SWEPT);
        scheduleWake();
    }

    private void carryOn() {
        serveWaiting(KEYS_TRIED);
        scheduleWake();
    }

    private void scheduleWake() {
        long at = endpointListRefresh.nextPollAtUs();
        at = waiting.isEmpty() ? at : Math.min(at, now + sweepUs);
        for (int c = 0; c < latencies.size(); c++) {
            AttemptId first = watched.get(c).peek();
            at = first == null
                    ? at
                    : Math.min(at, Math.max(now + sweepUs, first.request().sentAtUs[first.attempt()] + silentAfter(c)));
        }
        wakeUpTimer.schedule(at, now);
    }

    // ---------------------------------------------------------------- the mechanism

    // ---------------------------------------------------------------- ejection

    /** A failure counts against its server; one that shows a fault of the server may eject it. */
    private void onFailure(ServerRecord server, ServerHealth classHealth, boolean unhealthy) {
        errorCounter.onFailure(server);
        outlierDetector.onFailure(server, classHealth, unhealthy, now);
    }

    private void onSuccess(ServerRecord server, ServerHealth classHealth, boolean slow) {
        slowStart.onSuccess(now);
        trialsLeft = Math.min(MOST_TRIALS, trialsLeft + (server.health.ejected || classHealth.ejected ? 1 : 0));
        OutlierDetector.Recovery recovery = outlierDetector.onSuccess(server, classHealth, now);
        if (recovery == OutlierDetector.Recovery.SERVER) {
            forgetMeasurements(server);
        }
        if (recovery != OutlierDetector.Recovery.NONE) {
            outlierDetector.refresh();
        } else if (!server.health.ejected) {
            errorCounter.onSuccess(server, slow);
        }
    }

    /** A server that returns may be a new process that the list is yet to tell of. */
    private void forgetMeasurements(ServerRecord server) {
        errorCounter.reset(server);
        limiter.reset(server);
        loadReports.reset(server);
    }

    private void onRestarted(ServerRecord server, long startedAtUs) {
        server.startedAtUs = startedAtUs;
        slowStart.reset(server);
        outlierDetector.onRestarted(server);
        forgetMeasurements(server);
    }

    /** An ejected server that is due for a trial with this request, or null. Exception, last resort: where
     * the others are full, one that still answers, if with errors, gets what is safe to repeat, one at a time
     * and not as the last attempt. Errors cost no work, so the rest of what it does is won; but the longer it
     * only fails, the longer it is left alone, else one that fails all at once would draw most requests. */
    private ServerRecord trial(PendingRequest request, boolean full) {
        for (ServerRecord server : outlierDetector.ejectedServers()) {
            ServerHealth ofClass = server.classHealth.get(request.classIndex);
            // Unsafe requests are risked only where no other could tell: for a class of their own.
            boolean due = full
                    ? server.lastAttemptAnswered
                            && now >= server.pausedUntilUs
                            && now
                                    >= server.health.answeredAtUs
                                            + Math.max(0, server.health.consecutiveFailures() - RESTS_AFTER)
                                                    * latencies
                                                            .get(request.classIndex)
                                                            .meanUs()
                                                    / ServerHealth.HISTORY_LENGTH
                            && request.requestClass.idempotency() == Idempotency.IDEMPOTENT
                            && request.attempts < request.servers.length - 1
                    : request.requestClass.idempotency() == Idempotency.NON_IDEMPOTENT
                            ? !server.health.ejected
                                    && ofClass.ejected
                                    && now >= ofClass.trialAtUs + UNSAFE_TRIALS * ofClass.ejectionUs
                            : server.health.ejected && now >= server.health.trialAtUs
                                    || ofClass.ejected && now >= ofClass.trialAtUs;
            if (due && server.inFlight == 0 && eligibility.isLawful(request, server, now)) {
                return server;
            }
        }
        return null;
    }

    // ---------------------------------------------------------------- draws

    /** Two draws by weight; the one with fewer own requests in flight, ties at random. */
    private ServerRecord drawForFirstTry(PendingRequest request) {
        ServerRecord due = outlierDetector.ejectedServers().isEmpty() || trialsLeft < 1 ? null : trial(request, false);
        if (due != null) {
            trialsLeft--;
            return due;
        }
        ServerRecord server = drawTwo(request, state.localServers);
        // Exception, zones: where crossing costs, both draws are local, and two more from all servers win
        // only if the local choice is crowded, fails, or has at least two requests more in flight.
        if (state.localServers != state.allServers
                && (server == null || server.inFlight >= SPILL_AT || server.errors > 0)) {
            ServerRecord other = drawTwo(request, state.allServers);
            server = server == null
                            || other != null
                                    && (other.inFlight + SPILL_AT <= server.inFlight || other.errors < server.errors)
                    ? other
                    : server;
        }
        return server == null ? trial(request, true) : server;
    }

    private ServerRecord drawTwo(PendingRequest request, WeightedServers from) {
        ServerRecord first = draw(request, from, null);
        ServerRecord second = first == null ? null : draw(request, from, first);
        if (second == null || first.inFlight != second.inFlight) {
            return second == null || first.inFlight < second.inFlight ? first : second;
        }
        // Draws are in random order, but by weight: a tie is broken by a toss of its own, or by the key.
        return request.hasKey() || random.nextInt(2) == 0 ? first : second;
    }

    /** One draw by weight among the servers that may be sent to, but for {@code except}; null if none may. */
    private ServerRecord draw(PendingRequest request, WeightedServers from, ServerRecord except) {
        ServerRecord[] servers = from.servers;
        if (state.weightsStale) {
            weigh();
        }
        if (request.hasKey()) {
            return drawByKey(request, from, Arrays.asList(except));
        }
        for (int i = 0; i <= REDRAWS && servers.length > 0; i++) {
            ServerRecord server = servers[drawPosition(from)];
            if (server != except && eligibility.maySend(request, server, now)) {
                return server;
            }
        }
        return null;
    }

    private int drawPosition(WeightedServers from) {
        int last = from.servers.length - 1;
        if (largestEffect == 1) {
            return random.nextInt(last + 1);
        }
        int found = Arrays.binarySearch(from.cumulativeWeights, random.nextLong(from.cumulativeWeights[last]));
        return found < 0 ? -1 - found : found + 1;
    }

    /** Exception, keys: acts where servers remember keys. The same weights, but the draws are fixed by the
     * request's key, as in rendezvous hashing: nodes draw the same servers for a key, near ones first, and a
     * server that gains errors loses keys to those drawn next, while the others stay where they are warm.
     * When all draws are full the request waits: at just any server it would cost the work that memory saves,
     * and a crowd would feed itself. Harm: a few hot keys may wait while other servers have room. */
    private ServerRecord drawByKey(PendingRequest request, WeightedServers from, List<ServerRecord> except) {
        for (int i = 0; i < KEY_DRAWS && from.keyPlaces.length > 0; i++) {
            long hash = KeyAffinityPicker.mix(request.keySeed + i * 0x9E3779B97F4A7C15L);
            ServerRecord server = from.keyPlaces[(int) ((hash >>> 32) % from.keyPlaces.length)];
            boolean drawn = (hash & 0xFFFFFFFFL) * largestEffect < weight(server) * 0x1p32;
            if (drawn && !except.contains(server) && eligibility.maySend(request, server, now)) {
                return server;
            }
        }
        return null;
    }

    /** The paper's weights, worked out anew only when a count or the list has changed. */
    private void weigh() {
        int most = Arrays.stream(state.servers)
                .mapToInt(server -> server.errors)
                .max()
                .orElse(0);
        largestEffect = Math.floor(Math.pow(1 + most, 1.5));
        sumUp(state.allServers);
        sumUp(state.localServers);
        state.weightsStale = false;
    }

    private void sumUp(WeightedServers pool) {
        for (int i = 0; i < pool.servers.length; i++) {
            pool.cumulativeWeights[i] = weight(pool.servers[i]) + (i == 0 ? 0 : pool.cumulativeWeights[i - 1]);
        }
    }

    private long weight(ServerRecord server) {
        return server.health.ejected ? 1 : (long) Math.ceil(largestEffect / (1 + server.errors));
    }

    /** A failed request goes to the next server in list order, or waits, or has its final answer. */
    private void passOn(PendingRequest request, ServerRecord failed) {
        ServerRecord next = RetryPolicy.mayRetry(request, now) ? nextInTurn(request, failed) : null;
        if (next != null) {
            send(request, next);
        } else if (RetryPolicy.mayRetry(request, now)) {
            defer(request);
        } else {
            giveUp(request);
        }
    }

    private ServerRecord nextInTurn(PendingRequest request, ServerRecord failed) {
        List<ServerRecord> tried = Arrays.asList(request.servers);
        if (request.hasKey() && request.bindingAttempt() < 0) {
            return drawByKey(request, state.allServers, tried);
        }
        for (int i = 1; i <= state.servers.length; i++) {
            ServerRecord next = state.servers[(failed.position + i) % state.servers.length];
            if (!tried.contains(next) && eligibility.maySend(request, next, now)) {
                return next;
            }
        }
        return null;
    }

    // ---------------------------------------------------------------- silence

    /** Exception, silence: an attempt without an answer for {@link #SILENT_BY} times its class's usual time,
     * at a server that has answered nothing of the class since, counts as a failure while it is still out,
     * and a repeatable request passes on to a second server (a hedge, within a retry budget). Guards against
     * whatever swallows requests or answers while clients leave before any time-out tells. Not after a pause
     * of this node's own, when answers are still to be read. Harm: rare heavy requests run twice. */
    private void lookForSilence() {
        for (int c = 0; c < latencies.size(); c++) {
            ArrayDeque<AttemptId> line = watched.get(c);
            while (!line.isEmpty()) {
                PendingRequest request = line.peek().request();
                int attempt = line.peek().attempt();
                boolean known = request.isEnded() || request.isBound() || request.results[attempt] != null;
                if (!known && now < request.sentAtUs[attempt] + silentAfter(c)) {
                    break;
                }
                line.poll();
                if (!known) {
                    foundSilent(request, attempt);
                }
            }
        }
    }

    private long silentAfter(int classIndex) {
        return !latencies.get(classIndex).isKnown()
                ? Long.MAX_VALUE / 4
                : (long) (SILENT_BY * latencies.get(classIndex).meanUs()) + 2 * state.settings.tickUs;
    }

    private void foundSilent(PendingRequest request, int attempt) {
        ServerRecord server = request.servers[attempt];
        ServerHealth ofClass = server.classHealth.get(request.classIndex);
        if (ofClass.answeredAtUs < request.sentAtUs[attempt]) {
            request.countedAsFailure[attempt] = true;
            onFailure(server, ofClass, true);
        }
        if (state.settings.hedging
                && !request.isQueued()
                && hedgesLeft >= 1
                && RetryPolicy.mayRetry(request, now)
                && request.outstanding == 1) {
            ServerRecord next = nextInTurn(request, server);
            if (next != null) {
                hedgesLeft--;
                send(request, next);
            }
        }
    }

    // ---------------------------------------------------------------- the deferred queue

    private void recordLoad(PendingRequest request, int attempt, AttemptOutcome outcome) {
        ClassLatency latency = latencies.get(request.classIndex);
        LoadSignal signal = LoadSignal.of(request, outcome, latency);
        if (signal != LoadSignal.NONE) {
            boolean answered = signal == LoadSignal.ANSWERED;
            onTimeRatio.record(answered && now <= request.arrivedAtUs + request.latencyObjectiveUs);
        }
        if (signal == LoadSignal.ANSWERED) {
            latency.record(outcome.latencyUs());
        }
        limiter.onOutcome(request, attempt, outcome.latencyUs(), signal, now);
    }

    /** Puts a request into the deferred queue: first come first served among those of equal value. */
    private void defer(PendingRequest request) {
        request.enqueue();
        int at = waiting.size();
        while (at > 0 && waiting.get(at - 1).value < request.value) {
            at--;
        }
        waiting.add(at, request);
        // Clients would soon find no connection to ask on: what is worth least makes room.
        PendingRequest least = waiting.get(waiting.size() - 1);
        if (least.isQueued() && waiting.size() + state.totalInFlight > state.settings.maxOpen) {
            giveUp(least);
        }
    }

    private boolean isLate(PendingRequest request) {
        return request.objectiveAtUs - now
                < Math.min(
                        MOST_LATE_AT * request.latencyObjectiveUs,
                        TOO_LATE_AT * latencies.get(request.classIndex).meanUs());
    }

    /** Sends what waits as far as servers allow and ends what has run out of time. */
    private void serveWaiting(int keysToTry) {
        int kept = 0;
        boolean full = false;
        boolean fullForUnsafe = false;
        boolean unsorted = false;
        for (int i = 0; i < waiting.size(); i++) {
            PendingRequest request = waiting.get(i);
            if (!request.isQueued()) {
                continue;
            }
            boolean late = isLate(request);
            if (request.deadlineAtUs - now <= sweepUs + state.settings.tickUs
                    || late && request.requestClass.lateWeight() == 0
                    || !RetryPolicy.mayRetry(request, now)) {
                giveUp(request);
                continue;
            }
            if (late && !request.valuedAsLate) {
                request.valuedAsLate = true;
                request.value *= request.requestClass.lateWeight();
                unsorted = true;
                waiting.set(kept++, request);
                continue;
            }
            boolean unsafe = request.requestClass.idempotency() == Idempotency.NON_IDEMPOTENT;
            boolean barred = full || unsafe && fullForUnsafe;
            ServerRecord server = barred ? null : drawForFirstTry(request);
            if (server != null) {
                request.dequeue();
                send(request, server);
            } else {
                // What has not been sent may go anywhere, but for unsafe requests and ejected servers: if it
                // finds no server, nor does the next one. With a key it may go to few.
                boolean last = request.attempts == 0 && (!request.hasKey() || --keysToTry <= 0);
                fullForUnsafe |= last;
                full |= last && (!unsafe || request.hasKey());
                waiting.set(kept++, request);
            }
        }
        waiting.subList(kept, waiting.size()).clear();
        if (unsorted) {
            waiting.sort(Comparator.comparingDouble(request -> -request.value));
        }
    }

    // ---------------------------------------------------------------- concurrency limits

    // ---------------------------------------------------------------- sending

    private void send(PendingRequest request, ServerRecord server) {
        long beginBy = RetryPolicy.beginByUs(request);
        int attempt = request.attempts++;
        request.servers[attempt] = server;
        request.sentAtUs[attempt] = now;
        request.outstanding++;
        hedgesLeft = Math.min(MOST_HEDGES, hedgesLeft + (attempt == 0 ? HEDGE_SHARE : 0));
        trialsLeft = Math.min(MOST_TRIALS, trialsLeft + (attempt == 0 ? TRIAL_SHARE : 0));
        watched.get(request.classIndex).add(new AttemptId(request, attempt));
        server.inFlight++;
        state.totalInFlight += state.isCounted(server) ? 1 : 0;
        slowStart.onSent(server, now);
        out.send(request.id, server.id, beginBy, request.deadlineAtUs);
    }

    // ---------------------------------------------------------------- the four rules

    /** Rule 1: the one final answer, a refusal wherever that is known to be harmless. */
    private void giveUp(PendingRequest request) {
        if (RetryPolicy.isRetryByClientHarmless(request)) {
            out.reject(request.id, state.settings.maxRetryAfterUs);
        } else {
            out.fail(request.id);
        }
        end(request);
    }

    private void end(PendingRequest request) {
        request.end();
        cancel(request, -1);
        forgetIfOver(request);
    }

    private void cancel(PendingRequest request, int except) {
        for (int i = 0; i < request.attempts && request.outstanding > 0 && state.settings.cancellation; i++) {
            if (request.results[i] == null && i != except) {
                out.cancel(request.id, i);
            }
        }
    }

    private void forgetIfOver(PendingRequest request) {
        if (request.isEnded() && request.outstanding == 0) {
            requests.remove(request.id);
        }
    }
}
