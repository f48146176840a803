package loadbalancer.request;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import loadbalancer.client.ClientConnection;
import loadbalancer.client.ClientRequest;
import loadbalancer.client.ClientServer;
import loadbalancer.config.ClassRegistry;

/** All requests that a node holds. */
public final class RequestTable implements ClientServer.RequestHandler, ProxiedRequest.Keeper {
    private static final byte[] NO_BODY = {};
    /** Clients take an answer for lost that comes half a second after its time. */
    private static final long LATE_US = 250_000;

    private final RequestServices services;
    private final Supplier<ClassRegistry> registry;
    private final Map<Long, ProxiedRequest> held = new HashMap<>();
    /** How many of these have come whole and not had the end of their final answer. */
    private int open;

    private long lastId;
    private long endsAtUs = Long.MAX_VALUE;

    /** @param registry the classes as they are when a request comes */
    public RequestTable(RequestServices services, Supplier<ClassRegistry> registry) {
        this.services = services;
        this.registry = registry;
    }

    /** How many have come whole and wait for the end of their answer. */
    public int pendingCount() {
        return open;
    }

    /** What comes from now on is to have its answer by then, when {@link #failPending} is due. */
    public void setShutdownDeadline(long atUs) {
        endsAtUs = atUs;
    }

    /** Answers whatever has no answer yet: the process will be killed soon. */
    public void failPending() {
        List.copyOf(held.values()).forEach(ProxiedRequest::failPending);
    }

    @Override
    public void onRequest(ClientConnection client, ClientRequest request) {
        ClassRegistry now = registry.get();
        ClientRequest.Head head = request.head();
        ProxiedRequest taken = new ProxiedRequest(
                ++lastId,
                request,
                client,
                now.classes().get(head.classIndex()).name(),
                now.settings().maxAttempts,
                this,
                services);
        client.setCloseListener(taken);
        held.put(taken.id, taken);
        taken.begin();
        taken.ask(Math.min(endsAtUs, taken.arrivedAtUs() + head.remainingUs()));
    }

    @Override
    public void cameWhole(ProxiedRequest request) {
        if (!request.isEnded()) {
            open++;
            long wholeAtUs = request.request.upload() == null
                    ? request.arrivedAtUs()
                    : services.clock().nowUs();
            request.wholeUntil(
                    Math.min(endsAtUs, wholeAtUs + request.request.head().remainingUs()));
        }
    }

    @Override
    public void ended(ProxiedRequest request) {
        open -= request.isWhole() ? 1 : 0;
        long lateUs = services.clock().nowUs() - request.deadlineUs();
        if (lateUs > LATE_US) {
            request.logLate(lateUs);
        }
    }

    @Override
    public void over(ProxiedRequest request) {
        held.remove(request.id);
        if (request.request.upload() != null) {
            request.request.upload().release();
        }
    }

    /** Gives up attempts whose servers neither take nor give anything of what flows. */
    public void expireStalled() {
        long nowUs = services.clock().nowUs();
        List.copyOf(services.streaming()).stream()
                .filter(attempt -> attempt.isStalled(nowUs))
                .forEach(UpstreamAttempt::expire);
    }

    // ---------------------------------------------------------------- what the module asks for

    /** Starts an attempt of a request. */
    public void startAttempt(long requestId, String serverId, long beginByUs, long untilUs) {
        ProxiedRequest request = held.get(requestId);
        // Where the body flows, the module does not know yet by when the client wants its answer.
        boolean known = untilUs != 0 && request.request.upload() == null;
        request.send(serverId, beginByUs, known ? untilUs : Long.MAX_VALUE);
    }

    /** Cancels an attempt of a request; unknown ids are ignored. */
    public void cancelAttempt(long requestId, int attempt) {
        ProxiedRequest request = held.get(requestId);
        if (request != null) {
            request.cancel(attempt);
        }
    }

    /** The final answer that no server made: refused or failed. */
    public void respond(long requestId, HttpResponseStatus status, long retryAfterUs) {
        ProxiedRequest request = held.get(requestId);
        if (request != null) {
            request.answer(status, NO_BODY, retryAfterUs);
        }
    }
}
