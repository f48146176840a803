package loadbalancer.request;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import loadbalancer.client.ClientConnection;
import loadbalancer.client.ClientRequest;
import loadbalancer.client.ClientServer;
import loadbalancer.common.Log;
import loadbalancer.config.ClassRegistry;
import loadbalancer.http.HttpBodies;
import loadbalancer.policy.BalancerRequest;

/**
 * The table of all requests that a node holds, by id.
 *
 * <p>A request is entered when its head and the beginning of its body are known, and removed once it has its final
 * response and the balancer has heard of the end of each attempt. What the balancer asks for is passed to the request
 * here; a request that is no longer held ignores it. Runs on the event loop.
 */
public final class RequestTable implements ClientServer.RequestHandler, ProxiedRequest.Listener {
    private static final long MICROS_PER_MILLI = 1_000;

    /** Clients take a response for lost that comes half a second after its deadline; half of that is logged. */
    private static final long MIN_LOGGED_LATENESS_US = 250_000;

    private final RequestServices services;
    private final Supplier<ClassRegistry> registry;
    private final Map<Long, ProxiedRequest> requests = new HashMap<>();

    /** How many requests have arrived in full and have not had the end of their final response. */
    private int pendingCount;

    private long lastId;
    private long shutdownDeadlineUs = Long.MAX_VALUE;

    /** @param registry the classes as they are when a request arrives */
    public RequestTable(RequestServices services, Supplier<ClassRegistry> registry) {
        this.services = services;
        this.registry = registry;
    }

    /** How many requests have arrived in full and wait for the end of their response. */
    public int pendingCount() {
        return pendingCount;
    }

    /**
     * Sets by when requests that arrive from now on are to have their response, as {@link #failPending} is due then.
     */
    public void setShutdownDeadline(long deadlineUs) {
        shutdownDeadlineUs = deadlineUs;
    }

    /** Answers all requests that have no response yet: the process is about to be killed. */
    public void failPending() {
        List.copyOf(requests.values()).forEach(ProxiedRequest::failPending);
    }

    // ---------------------------------------------------------------- the life of a request

    @Override
    public void onRequest(ClientConnection client, ClientRequest arrived) {
        ClassRegistry current = registry.get();
        ClientRequest.Head head = arrived.head();
        ProxiedRequest request = new ProxiedRequest(
                ++lastId,
                arrived,
                client,
                current.classes().get(head.classIndex()).name(),
                current.settings().maxAttempts,
                this,
                services);
        client.setCloseListener(request);
        requests.put(request.id(), request);
        request.start();
        submitToBalancer(request, Math.min(shutdownDeadlineUs, request.arrivedAtUs() + head.remainingUs()));
    }

    /** Submits a new request to the balancer, with the time by which its client wants the response. */
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
    public void onReceived(ProxiedRequest request) {
        if (!request.isEnded()) {
            pendingCount++;
            ClientRequest received = request.clientRequest();
            long receivedAtUs = received.streamedBody() == null
                    ? request.arrivedAtUs()
                    : services.clock().nowUs();
            request.setReceived(
                    Math.min(shutdownDeadlineUs, receivedAtUs + received.head().remainingUs()));
        }
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

    private static void logLate(ProxiedRequest request, long lateUs) {
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
                request.isResponseStreamed());
    }

    /** Ends the attempts whose servers neither take nor send anything of what is streamed. */
    public void expireStalled() {
        long nowUs = services.clock().nowUs();
        List.copyOf(services.streaming()).stream()
                .filter(attempt -> attempt.isStalled(nowUs))
                .forEach(UpstreamAttempt::expire);
    }

    // ---------------------------------------------------------------- what the balancer asks for

    /** Starts an attempt of a request, which must be held; {@code endByUs} of 0 sets no time limit of its own. */
    public void startAttempt(long requestId, String serverId, long startByUs, long endByUs) {
        ProxiedRequest request = requests.get(requestId);
        // While a body is streamed, the balancer does not know yet by when the client wants its response.
        boolean limited = endByUs != 0 && request.clientRequest().streamedBody() == null;
        request.startAttempt(serverId, startByUs, limited ? endByUs : Long.MAX_VALUE);
    }

    /** Cancels an attempt of a request; unknown ids are ignored. */
    public void cancelAttempt(long requestId, int attempt) {
        ProxiedRequest request = requests.get(requestId);
        if (request != null) {
            request.cancelAttempt(attempt);
        }
    }

    /** Sends the final response that no server has made: rejected or failed. Unknown ids are ignored. */
    public void respond(long requestId, HttpResponseStatus status, long retryAfterUs) {
        ProxiedRequest request = requests.get(requestId);
        if (request != null) {
            request.respond(status, HttpBodies.EMPTY, retryAfterUs);
        }
    }
}
