package loadbalancer.policy;

import java.util.Arrays;
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

    /** Nodes that share a server from which on a node counts as state.manyNodesPerServer: with fewer it lost more. */
    private static final double SPARSE_FROM = 20;

    private final BalancerState state = new BalancerState();
    private final BalancerActions actions;
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
    private final PendingQueue queue;
    private final HedgingPolicy hedgingPolicy;
    private final TrialRequests trialRequests;
    private final FirstAttemptPicker firstAttemptPicker;
    private final RetryPicker retryPicker;

    private final Map<String, ServerRecord> byId = new HashMap<>();
    private final Set<ServerRecord> listed = new LinkedHashSet<>();

    private Map<String, Long> cordons = Map.of();
    private final SubsetSelector subsetSelector = new SubsetSelector(state);

    private final Map<Long, PendingRequest> requests = new HashMap<>();

    private long now;
    private final PerClass<ClassLatency> latencies = new PerClass<>(ClassLatency::new);
    private final PendingRequestFactory requestFactory = new PendingRequestFactory();

    /** A node that has just started and knows nothing; throws IllegalArgumentException on bad settings. */
    public ServiceQBalancer(BalancerSettings settings, long seed, BalancerActions actions) {
        this.actions = actions;
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
        queue = new PendingQueue(state, latencies, new PendingQueue.Dispatcher() {
            @Override
            public boolean trySend(PendingRequest request, long nowUs) {
                return ServiceQBalancer.this.trySend(request);
            }

            @Override
            public void answerUnserved(PendingRequest request) {
                ServiceQBalancer.this.answerUnserved(request);
            }
        });
        hedgingPolicy = new HedgingPolicy(state, latencies);
        trialRequests = new TrialRequests(latencies, eligibility, outlierDetector.ejectedServers());
        ServerWeights weights = new ServerWeights(state);
        KeyAffinityPicker keyAffinityPicker = new KeyAffinityPicker(weights, eligibility);
        WeightedServerPicker weightedPicker = new WeightedServerPicker(weights, keyAffinityPicker, eligibility, random);
        firstAttemptPicker = new FirstAttemptPicker(state, trialRequests, weightedPicker);
        retryPicker = new RetryPicker(state, keyAffinityPicker, eligibility);
        follow(settings);
        shareAmong(state.settings.nodes);
    }

    private void follow(BalancerSettings settings) {
        settings.validate();
        state.settings = settings;
        queue.applySettings(settings);
        loadReports.applySettings(settings);
        latencies.extendTo(state.settings.classes);
        hedgingPolicy.addClasses(state.settings.classes);
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
        return new WeightedServers(
                servers, state.settings.keyAffinity ? KeyAffinityPicker.placesOf(servers) : new ServerRecord[0]);
    }

    private void leave(ServerRecord server) {
        server.inFlight--;
        state.totalInFlight -= state.isCounted(server) ? 1 : 0;
        closeIfUnused(server);
    }

    /** Connections to a server no longer in use would hold its places for the nodes that do use it. */
    private void closeIfUnused(ServerRecord server) {
        if (!server.inUse && server.inFlight == 0) {
            actions.closeIdle(server.id);
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
        boolean first = !turnedDown && (queue.isEmpty() || request.hasKey() && !queue.isLate(request, now));
        ServerRecord server = first && now < request.deadlineAtUs ? firstAttemptPicker.pick(request, now) : null;
        if (server != null) {
            send(request, server);
        } else if (turnedDown) {
            answerUnserved(request);
        } else {
            enqueue(request);
            queue.serve(PendingQueue.KEYS_PER_EVENT, now);
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
            AttemptId unresponsive = hedgingPolicy.pollUnresponsive(now);
            while (unresponsive != null) {
                onUnresponsive(unresponsive.request(), unresponsive.attempt());
                unresponsive = hedgingPolicy.pollUnresponsive(now);
            }
        }
        queue.serve(PendingQueue.KEYS_PER_SWEEP, now);
        scheduleWake();
    }

    private void carryOn() {
        queue.serve(PendingQueue.KEYS_PER_EVENT, now);
        scheduleWake();
    }

    private void scheduleWake() {
        long at = endpointListRefresh.nextPollAtUs();
        at = queue.isEmpty() ? at : Math.min(at, now + queue.sweepIntervalUs());
        at = Math.min(at, hedgingPolicy.nextCheckAtUs(now + queue.sweepIntervalUs()));
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
        trialRequests.onSuccess(server, classHealth);
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

    // ---------------------------------------------------------------- draws

    /** A failed request goes to the next server in list order, or waits, or has its final answer. */
    private void passOn(PendingRequest request, ServerRecord failed) {
        ServerRecord next = RetryPolicy.mayRetry(request, now) ? retryPicker.pick(request, failed, now) : null;
        if (next != null) {
            send(request, next);
        } else if (RetryPolicy.mayRetry(request, now)) {
            enqueue(request);
        } else {
            answerUnserved(request);
        }
    }

    // ---------------------------------------------------------------- silence

    // ---------------------------------------------------------------- the deferred queue

    private void enqueue(PendingRequest request) {
        PendingRequest shed = queue.add(request);
        if (shed != null) {
            answerUnserved(shed);
        }
    }

    private boolean trySend(PendingRequest request) {
        ServerRecord server = firstAttemptPicker.pick(request, now);
        if (server != null) {
            request.dequeue();
            send(request, server);
        }
        return server != null;
    }

    /** The final answer to a request that no server served; tells the client when a retry is harmless. */
    private void answerUnserved(PendingRequest request) {
        if (RetryPolicy.isRetryByClientHarmless(request)) {
            actions.reject(request.id, state.settings.maxRetryAfterUs);
        } else {
            actions.fail(request.id);
        }
        end(request);
    }

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

    /** Counts an attempt without an answer as a failure while it is still out, and hedges it. */
    private void onUnresponsive(PendingRequest request, int attempt) {
        ServerRecord server = request.servers[attempt];
        ServerHealth classHealth = server.classHealth.get(request.classIndex);
        if (classHealth.answeredAtUs < request.sentAtUs[attempt]) {
            request.countedAsFailure[attempt] = true;
            onFailure(server, classHealth, true);
        }
        if (hedgingPolicy.mayHedge(request, now)) {
            ServerRecord next = retryPicker.pick(request, server, now);
            if (next != null) {
                hedgingPolicy.onHedged();
                send(request, next);
            }
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
        if (attempt == 0) {
            trialRequests.onFirstAttemptSent();
        }
        hedgingPolicy.onSent(request, attempt);
        server.inFlight++;
        state.totalInFlight += state.isCounted(server) ? 1 : 0;
        slowStart.onSent(server, now);
        actions.send(request.id, server.id, beginBy, request.deadlineAtUs);
    }

    // ---------------------------------------------------------------- the four rules

    private void end(PendingRequest request) {
        request.end();
        cancel(request, -1);
        forgetIfOver(request);
    }

    private void cancel(PendingRequest request, int except) {
        for (int i = 0; i < request.attempts && request.outstanding > 0 && state.settings.cancellation; i++) {
            if (request.results[i] == null && i != except) {
                actions.cancel(request.id, i);
            }
        }
    }

    private void forgetIfOver(PendingRequest request) {
        if (request.isEnded() && request.outstanding == 0) {
            requests.remove(request.id);
        }
    }
}
