package loadbalancer.policy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Implements the path of a request through the balancer; each rule on that path is a separate class (see {@link
 * BalancerRules}).
 *
 * <p>The path is that of ServiceQ, a published load balancer: it draws two servers, with weights that fall with their
 * errors, and sends a first attempt to the one with fewer requests in flight ({@link FirstAttemptPicker}). A failed
 * attempt is retried at the next server in list order ({@link RetryPolicy}, {@link RetryPicker}); with a key, a request
 * that certainly has not run goes to the key's next server instead. If the request may not be sent to any server, it
 * waits within its client's deadline ({@link PendingQueue}); if it may not be sent again, it gets a final response.
 * This node adds load shedding on arrival ({@link AdmissionController}) and hedged requests ({@link HedgingPolicy}).
 */
public final class ServiceQBalancer implements Balancer {
    private final BalancerActions actions;
    private final BalancerState state;
    private final BalancerRules rules;
    private final OutcomeRecorder outcomeRecorder;
    private final PendingQueue queue;
    private final WakeUpTimer wakeUpTimer;
    private final ServerRegistry registry = new ServerRegistry();
    /** The requests that have no final response yet or have attempts in flight, by id. */
    private final Map<Long, PendingRequest> requests = new HashMap<>();

    /**
     * Creates a balancer without servers.
     *
     * @throws IllegalArgumentException if a setting is missing or out of range
     */
    public ServiceQBalancer(BalancerSettings settings, long seed, BalancerActions actions) {
        this.actions = actions;
        rules = new BalancerRules(settings, new SplittableRandom(seed), actions);
        state = rules.state;
        outcomeRecorder = new OutcomeRecorder(rules);
        queue = new PendingQueue(state, rules.latencies, this::trySend, this::respondUnserved);
        wakeUpTimer = new WakeUpTimer(actions);
        applySettings(settings);
        rules.serversInUse.setNodesPerServer(settings.nodes);
    }

    private void applySettings(BalancerSettings settings) {
        settings.validate();
        rules.applySettings(settings);
        queue.applySettings(settings);
        registry.addClasses(settings.classes);
    }

    // ---------------------------------------------------------------- the path of a request

    @Override
    public void onRequest(long nowUs, BalancerRequest arrival) {
        requireValid(arrival);
        PendingRequest request = rules.requestFactory.create(arrival, state.settings, nowUs);
        requests.put(request.id, request);
        request.value = rules.priority.valueOf(request.requestClass.priorityWeight(), request.classIndex);
        if (rules.admissionController.shouldShed(request)) {
            respondUnserved(request);
        } else if (!maySkipQueue(request, nowUs) || !trySend(request, nowUs)) {
            enqueue(request);
            queue.serve(PendingQueue.MAX_KEYED_TRIES_PER_EVENT, nowUs);
        }
        scheduleWakeUp(nowUs);
    }

    /**
     * Whether a request may be tried before those in the queue: before its deadline, if the queue is empty or if the
     * request has a key and is not late. Each request with a key waits for a few servers only, and the queue retries
     * the waiting ones after each outcome.
     */
    private boolean maySkipQueue(PendingRequest request, long nowUs) {
        boolean isFirst = queue.isEmpty() || request.hasKey() && !queue.isLate(request, nowUs);
        return isFirst && nowUs < request.deadlineAtUs;
    }

    private boolean trySend(PendingRequest request, long nowUs) {
        ServerRecord server = rules.firstAttemptPicker.pick(request, nowUs);
        if (server == null) {
            return false;
        }
        send(request, server, nowUs);
        return true;
    }

    private void send(PendingRequest request, ServerRecord server, long nowUs) {
        long startByUs = RetryPolicy.startByUs(request);
        int attempt = request.addAttempt(server, nowUs);
        if (attempt == 0) {
            rules.trialRequests.onFirstAttemptSent();
        }
        rules.hedgingPolicy.onSent(request, attempt);
        rules.serversInUse.acquire(server);
        rules.slowStart.onSent(server, nowUs);
        actions.send(request.id, server.id, startByUs, request.deadlineAtUs);
    }

    @Override
    public void onOutcome(long nowUs, AttemptOutcome outcome) {
        PendingRequest request = requests.get(outcome.requestId());
        int attempt = outcome.attempt();
        if (request == null || !request.isInFlight(attempt)) {
            return;
        }
        ServerRecord server = request.servers[attempt];
        request.recordResult(attempt, outcome.result());
        if (attempt != request.boundAttempt) {
            rules.serversInUse.release(server);
        }
        outcomeRecorder.onOutcome(request, outcome, nowUs);
        if (outcome.requestEnded()) {
            end(request);
        } else if (!request.isEnded() && request.outstanding == 0) {
            retryOrRespond(request, server, nowUs);
        }
        removeIfFinished(request);
        serveQueue(nowUs);
    }

    /** Sends a failed request to another server, or queues it, or gives it its final response. */
    private void retryOrRespond(PendingRequest request, ServerRecord failed, long nowUs) {
        if (!RetryPolicy.mayRetry(request, nowUs)) {
            respondUnserved(request);
            return;
        }
        ServerRecord next = rules.retryPicker.pick(request, failed, nowUs);
        if (next != null) {
            send(request, next, nowUs);
        } else {
            enqueue(request);
        }
    }

    private void enqueue(PendingRequest request) {
        PendingRequest displaced = queue.add(request);
        if (displaced != null) {
            respondUnserved(displaced);
        }
    }

    /**
     * Gives the final response to a request that no server has served: "rejected" only if the client may safely retry.
     */
    private void respondUnserved(PendingRequest request) {
        if (RetryPolicy.isClientRetrySafe(request)) {
            actions.reject(request.id, state.settings.maxRetryAfterUs);
        } else {
            actions.fail(request.id);
        }
        end(request);
    }

    private void end(PendingRequest request) {
        request.end();
        cancelAttemptsExcept(PendingRequest.UNBOUND, request);
        removeIfFinished(request);
    }

    /** Cancels all attempts in flight except this one; {@link PendingRequest#UNBOUND} cancels all. */
    private void cancelAttemptsExcept(int kept, PendingRequest request) {
        if (!state.settings.cancellation) {
            return;
        }
        for (int attempt = 0; attempt < request.attempts && request.outstanding > 0; attempt++) {
            if (request.isInFlight(attempt) && attempt != kept) {
                actions.cancel(request.id, attempt);
            }
        }
    }

    private void removeIfFinished(PendingRequest request) {
        if (request.isFinished()) {
            requests.remove(request.id);
        }
    }

    // ---------------------------------------------------------------- other events of a request

    @Override
    public void onFirstByte(long nowUs, long requestId, int attempt) {
        PendingRequest request = requests.get(requestId);
        if (request != null && !request.isBound() && request.isInFlight(attempt)) {
            // From here on the response is transferred at the client's pace, which does not depend on the server's
            // load.
            rules.serversInUse.release(request.servers[attempt]);
            request.boundAttempt = attempt;
            cancelAttemptsExcept(attempt, request);
        }
    }

    @Override
    public void onResponseProgress(long nowUs, long requestId, int attempt) {
        PendingRequest request = requests.get(requestId);
        if (request != null && request.isInFlight(attempt)) {
            request.responding[attempt] = true;
        }
    }

    @Override
    public void onClientGone(long nowUs, long requestId) {
        PendingRequest request = requests.get(requestId);
        if (request != null) {
            request.withdrawn = true;
            end(request);
        }
    }

    @Override
    public void onWake(long nowUs) {
        boolean paused = wakeUpTimer.onWake(nowUs);
        rules.endpointListRefresh.onWake(nowUs);
        if (!paused) {
            hedgeUnresponsiveAttempts(nowUs);
        }
        queue.serve(PendingQueue.MAX_KEYED_TRIES_PER_SWEEP, nowUs);
        scheduleWakeUp(nowUs);
    }

    private void hedgeUnresponsiveAttempts(long nowUs) {
        AttemptId id = rules.hedgingPolicy.pollUnresponsive(nowUs);
        while (id != null) {
            outcomeRecorder.onUnresponsive(id.request(), id.attempt(), nowUs);
            if (rules.hedgingPolicy.mayHedge(id.request(), nowUs)) {
                hedge(id.request(), id.request().servers[id.attempt()], nowUs);
            }
            id = rules.hedgingPolicy.pollUnresponsive(nowUs);
        }
    }

    private void hedge(PendingRequest request, ServerRecord unresponsive, long nowUs) {
        ServerRecord next = rules.retryPicker.pick(request, unresponsive, nowUs);
        if (next != null) {
            rules.hedgingPolicy.onHedged();
            send(request, next, nowUs);
        }
    }

    // ---------------------------------------------------------------- servers and settings

    @Override
    public void onServers(long nowUs, ListKind kind, List<ServerEntry> entries) {
        registry.apply(kind, entries, state.settings.classes).forEach(outcomeRecorder::onRestarted);
        chooseServers(nowUs);
        registry.forgetRemoved();
        rules.endpointListRefresh.onList(kind, nowUs);
        serveQueue(nowUs);
    }

    @Override
    public void onListFailed(long nowUs) {
        if (state.settings.pollsEndpointList) {
            rules.endpointListRefresh.onListFailed(nowUs);
            scheduleWakeUp(nowUs);
        }
    }

    @Override
    public void onCordoned(long nowUs, Set<String> serverIds) {
        registry.setCordoned(serverIds, nowUs).forEach(outcomeRecorder::onRestarted);
        chooseServers(nowUs);
        serveQueue(nowUs);
    }

    @Override
    public void onSettings(long nowUs, BalancerSettings settings) {
        applySettings(settings);
        chooseServers(nowUs);
        serveQueue(nowUs);
    }

    @Override
    public int excludedServers() {
        return rules.outlierDetector.ejectedServers().size() + registry.cordonedCount();
    }

    /** Number of servers in the registry, including removed ones with attempts in flight. */
    int knownServers() {
        return registry.size();
    }

    private void chooseServers(long nowUs) {
        rules.serversInUse.choose(registry.available(), nowUs);
        rules.outlierDetector.refresh();
    }

    // ---------------------------------------------------------------- time

    private void serveQueue(long nowUs) {
        queue.serve(PendingQueue.MAX_KEYED_TRIES_PER_EVENT, nowUs);
        scheduleWakeUp(nowUs);
    }

    private void scheduleWakeUp(long nowUs) {
        long sweepAtUs = nowUs + queue.sweepIntervalUs();
        long atUs = Math.min(rules.endpointListRefresh.nextPollAtUs(), rules.hedgingPolicy.nextCheckAtUs(sweepAtUs));
        wakeUpTimer.schedule(queue.isEmpty() ? atUs : Math.min(atUs, sweepAtUs), nowUs);
    }

    private void requireValid(BalancerRequest request) {
        BalancerSettings settings = state.settings;
        boolean hasClass = request.classIndex() >= 0 && request.classIndex() < settings.classes.size();
        if (!hasClass || request.tenant() >= settings.tenants.size() || requests.containsKey(request.id())) {
            throw new IllegalArgumentException(
                    "request has an unknown class or tenant, or an id that is already in use: " + request);
        }
    }
}
