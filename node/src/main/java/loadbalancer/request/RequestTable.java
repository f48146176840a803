package loadbalancer.request;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import loadbalancer.admin.RequestOutcome;
import loadbalancer.client.ClientConnection;
import loadbalancer.client.ClientRequest;
import loadbalancer.client.ClientServer;
import loadbalancer.common.Log;
import loadbalancer.config.ClassRegistry;
import loadbalancer.http.HttpBodies;
import loadbalancer.policy.BalancerRequest;

/**
 * The table of the node's open requests, by id.
 *
 * <p>A request is added when it has arrived in full or its body starts to be streamed. It is removed once it has ended
 * and the outcome of each attempt has been reported to the balancer. The actions of the balancer are passed to the
 * request by its id. All methods are called on the event loop.
 */
public final class RequestTable implements ClientServer.RequestHandler, ProxiedRequestListener {
    private static final long MICROS_PER_MILLI = 1_000;

    /**
     * Lateness above which a request is logged: half of the 500 ms after which clients on the platform treat a response
     * as lost.
     */
    private static final long MIN_LOGGED_LATENESS_US = 250_000;

    private final RequestServices services;
    private final Supplier<ClassRegistry> registry;
    private final Map<Long, ProxiedRequest> requests = new HashMap<>();

    /** The number of requests that have arrived in full and have not ended. */
    private int pendingCount;

    private long lastId;
    private long shutdownDeadlineUs = Long.MAX_VALUE;
    /** Responses are streamed only to requests that may have been written in full by then. */
    private long streamedUntilUs = Long.MAX_VALUE;

    /** @param registry supplies the current request classes when a request arrives */
    public RequestTable(RequestServices services, Supplier<ClassRegistry> registry) {
        this.services = services;
        this.registry = registry;
    }

    /** Returns the number of requests that have arrived in full and have not ended. */
    public int pendingCount() {
        return pendingCount;
    }

    /**
     * Prepares for the end of the process. Requests that arrive, or whose bodies end, from now on have to be answered
     * by the shutdown deadline, at which {@link #failPending} will be called.
     *
     * @param graceEndsAtUs requests that were certainly written later get a buffered response or an error
     * @param deadlineUs the shutdown deadline
     */
    public void setShutdown(long graceEndsAtUs, long deadlineUs) {
        streamedUntilUs = graceEndsAtUs;
        shutdownDeadlineUs = deadlineUs;
    }

    /** Ends all requests but those whose response is being streamed, as the process is about to be killed. */
    public void failPending() {
        List.copyOf(requests.values()).forEach(ProxiedRequest::failPending);
    }

    // ---------------------------------------------------------------- life cycle of a request

    @Override
    public void onRequest(ClientConnection client, ClientRequest clientRequest) {
        ClassRegistry classRegistry = registry.get();
        ClientRequest.Head head = clientRequest.head();
        ProxiedRequest request = new ProxiedRequest(
                ++lastId,
                clientRequest,
                client,
                classRegistry.classes().get(head.classIndex()).name(),
                classRegistry.settings().maxAttempts,
                this,
                services);
        client.presence().setCloseListener(request);
        requests.put(request.id(), request);
        request.start();
        submitToBalancer(request, Math.min(shutdownDeadlineUs, request.arrivedAtUs() + head.remainingUs()));
    }

    @Override
    public void onRequestRejected(int classIndex) {
        String className = registry.get().classes().get(classIndex).name();
        services.metrics().onRequestFinished(className, RequestOutcome.REJECTED);
    }

    /** Submits a new request to the balancer, with its remaining time counted from its arrival. */
    private void submitToBalancer(ProxiedRequest request, long clientDeadlineUs) {
        ClientRequest.Head head = request.clientRequest().head();
        services.events().submit(request, balancer -> {
            long nowUs = services.clock().nowUs();
            long waitedUs = Math.max(0, nowUs - request.arrivedAtUs());
            balancer.onRequest(
                    nowUs,
                    new BalancerRequest(
                            request.id(),
                            head.classIndex(),
                            head.tenantIndex(),
                            Math.max(0, clientDeadlineUs - nowUs + waitedUs),
                            head.estimatedWorkUs(),
                            head.retry(),
                            head.affinityKey(),
                            waitedUs));
        });
    }

    @Override
    public void onReceived(ProxiedRequest request, long arrivedAtUs) {
        if (!request.isEnded()) {
            pendingCount++;
            long remainingUs = request.clientRequest().head().remainingUs();
            request.setReceived(arrivedAtUs, Math.min(shutdownDeadlineUs, arrivedAtUs + remainingUs));
        }
    }

    @Override
    public boolean mayStreamResponse(ProxiedRequest request) {
        long writtenAtUs =
                request.isReceived() ? request.writtenAtUs() : services.clock().nowUs();
        return writtenAtUs <= streamedUntilUs;
    }

    @Override
    public void onEnding(ProxiedRequest request) {
        pendingCount -= request.isReceived() ? 1 : 0;
        long lateUs = services.clock().nowUs() - request.deadlineUs();
        if (lateUs > MIN_LOGGED_LATENESS_US) {
            logLate(request, lateUs);
        }
    }

    @Override
    public void onFinished(ProxiedRequest request) {
        requests.remove(request.id());
        if (request.clientRequest().streamedBody() != null) {
            request.clientRequest().streamedBody().release();
        }
    }

    private void logLate(ProxiedRequest request, long lateUs) {
        Log.warn(
                "request_late",
                "txn",
                request.clientRequest().head().requestId(),
                "late_ms",
                lateUs / MICROS_PER_MILLI,
                "attempts",
                request.attemptCount(),
                "in_flight",
                request.openAttemptCount(),
                "streaming",
                request.isResponseStreamed(),
                "upload",
                request.clientRequest().streamedBody() != null,
                "since_written_ms",
                (services.clock().nowUs() - request.writtenAtUs()) / MICROS_PER_MILLI);
    }

    /** Ends the attempts whose servers have stalled a streamed request or response for too long. */
    public void expireStalled() {
        long nowUs = services.clock().nowUs();
        List.copyOf(services.streaming()).stream()
                .filter(attempt -> attempt.isStalled(nowUs))
                .forEach(attempt -> attempt.expire(EndReason.STALLED));
    }

    // ---------------------------------------------------------------- actions of the balancer

    /**
     * Starts an attempt of a request, which must be in the table.
     *
     * @param startByUs the latest time at which the attempt may start on a connection
     * @param endByUs the latest time at which the attempt may end; 0 for no limit but the request's deadline. Not used
     *     if the request body is streamed
     */
    public void startAttempt(long requestId, String serverId, long startByUs, long endByUs) {
        ProxiedRequest request = requests.get(requestId);
        // The balancer does not know the deadline of a request whose body is streamed: it starts with the end of the
        // body.
        boolean limited = endByUs != 0 && request.clientRequest().streamedBody() == null;
        request.startAttempt(serverId, startByUs, limited ? endByUs : Long.MAX_VALUE);
    }

    /** Cancels an attempt of a request. Unknown request ids are ignored. */
    public void cancelAttempt(long requestId, int attempt) {
        ProxiedRequest request = requests.get(requestId);
        if (request != null) {
            request.cancelAttempt(attempt);
        }
    }

    /** Sends a final response of the node itself: rejected or failed. Unknown request ids are ignored. */
    public void respond(long requestId, HttpResponseStatus status, long retryAfterUs) {
        ProxiedRequest request = requests.get(requestId);
        if (request != null) {
            request.respond(status, HttpBodies.EMPTY, retryAfterUs);
        }
    }
}
