package loadbalancer.request;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.admin.RequestOutcome;
import loadbalancer.client.ClientConnection;
import loadbalancer.client.ClientPresence;
import loadbalancer.client.ClientRequest;
import loadbalancer.http.HttpBodies;
import loadbalancer.policy.AttemptResult;
import loadbalancer.transfer.FlowControl;
import loadbalancer.transfer.RequestBody;

/**
 * A client's request, from its arrival until it is finished: it has ended and has no open attempts left.
 *
 * <p>A request ends once, by its only final response or because its client has left. After that, neither attempts nor
 * the balancer can send anything to the client. Each attempt ends once.
 *
 * <p>A request whose client leaves ends without a response. If it waits for a server, the balancer drops it and starts
 * no further attempt. An attempt that has not started yet, or still waits for a connection, is not sent. Attempts that
 * wait for a response are cancelled by the balancer if its settings enable cancellation; otherwise they continue, and
 * their responses are dropped. Whatever the settings are, the attempt whose response is being streamed is cancelled,
 * and so is the attempt that sends the request body if the rest of the body will not arrive.
 *
 * <p>All methods are called on the event loop.
 */
final class ProxiedRequest implements ClientPresence.CloseListener, PolicyEventQueue.FailureHandler {
    private final long id;
    private final ClientRequest request;
    private final ClientConnection client;
    private final String className;
    private final int maxAttempts;
    private final ProxiedRequestListener listener;
    private final RequestServices services;

    private RequestState state = RequestState.RECEIVING;
    /** The latest time for the response; {@link Long#MAX_VALUE} until the request has arrived in full. */
    private long deadlineUs = Long.MAX_VALUE;
    /** The earliest time at which the client may have written its last byte; 0 until that is read. */
    private long writtenAtUs;

    private final List<UpstreamAttempt> attempts = new ArrayList<>(1);
    /** The number of attempts whose outcome has not been reported to the balancer. */
    private int openAttempts;

    private boolean clientGone;

    /** The attempt whose message was last written to a connection; null before the first one. */
    private UpstreamAttempt writingAttempt;
    /** The attempt whose response is or was streamed to the client; null if there is none. */
    private UpstreamAttempt streamingAttempt;

    ProxiedRequest(
            long id,
            ClientRequest request,
            ClientConnection client,
            String className,
            int maxAttempts,
            ProxiedRequestListener listener,
            RequestServices services) {
        this.id = id;
        this.request = request;
        this.client = client;
        this.className = className;
        this.maxAttempts = maxAttempts;
        this.listener = listener;
        this.services = services;
    }

    long id() {
        return id;
    }

    ClientRequest clientRequest() {
        return request;
    }

    String className() {
        return className;
    }

    /**
     * Returns the earliest time at which it may have arrived, which is before it was read if the event loop stalled.
     */
    long arrivedAtUs() {
        return services.clock().unixMicrosOf(request.arrivedAtNanos());
    }

    long deadlineUs() {
        return deadlineUs;
    }

    /** Returns the earliest time at which the client may have written the last byte of the request. */
    long writtenAtUs() {
        return writtenAtUs;
    }

    boolean isReceived() {
        return state.isReceived();
    }

    boolean isEnded() {
        return state.isEnded();
    }

    boolean isClientGone() {
        return clientGone;
    }

    /** Returns the number of attempts so far. */
    int attemptCount() {
        return attempts.size();
    }

    /** Returns the number of attempts whose outcome has not been reported to the balancer. */
    int openAttemptCount() {
        return openAttempts;
    }

    /** Returns whether its response is being streamed or has been. */
    boolean isResponseStreamed() {
        return streamingAttempt != null;
    }

    // ---------------------------------------------------------------- arrival

    /** Follows the arrival of a streamed body; a request without one has already arrived in full. */
    void start() {
        if (request.streamedBody() == null) {
            listener.onReceived(this, arrivedAtUs());
        } else {
            request.streamedBody().setListener(new BodyListener());
        }
    }

    private final class BodyListener implements RequestBody.Listener {
        @Override
        public void onCommitted() {
            int attempt = writingAttempt.number();
            services.events()
                    .submit(
                            ProxiedRequest.this,
                            balancer -> balancer.onFirstByte(services.clock().nowUs(), id, attempt));
        }

        @Override
        public void onBlocked(boolean blocked) {
            writingAttempt.onBodyBlocked(blocked);
        }

        @Override
        public void onReceived(long arrivedAtNanos) {
            listener.onReceived(ProxiedRequest.this, services.clock().unixMicrosOf(arrivedAtNanos));
        }
    }

    /**
     * Records that the client has sent the whole request, and starts its deadline. The end of its body was dropped if
     * the response had started. Not called after the request has ended.
     */
    void setReceived(long newWrittenAtUs, long newDeadlineUs) {
        writtenAtUs = newWrittenAtUs;
        state = state.received();
        deadlineUs = newDeadlineUs;
        attempts.stream().filter(attempt -> !attempt.isEnded()).forEach(UpstreamAttempt::onRequestReceived);
    }

    @Override
    public void onClientGone() {
        clientGone = true;
        services.events().submit(this, balancer -> {
            end();
            balancer.onClientGone(services.clock().nowUs(), id);
            notifyIfFinished();
        });
    }

    @Override
    public void onBalancerFailure() {
        respondAndWithdraw(HttpResponseStatus.INTERNAL_SERVER_ERROR);
    }

    // ---------------------------------------------------------------- attempts

    /** Returns whether the attempt of this number may still be sent. */
    boolean allowsAttempt(int number) {
        return number < maxAttempts
                && !isEnded()
                && (request.streamedBody() == null || request.streamedBody().isReplayable());
    }

    void startAttempt(String serverId, long startByUs, long endByUs) {
        UpstreamAttempt attempt = new UpstreamAttempt(this, attempts.size(), serverId, startByUs, endByUs, services);
        attempts.add(attempt);
        openAttempts++;
        // Started by a timer, after the I/O events of this turn and the timers that are already due. After a stall of
        // the loop these may be a disconnect of the client, a drain of the server or a timeout, each of which must stop
        // the attempt from being sent.
        services.loop().schedule(attempt::startWhenClientConfirmed, 0, TimeUnit.NANOSECONDS);
    }

    void cancelAttempt(int number) {
        attempts.get(number).cancel();
    }

    /** Returns what tells whether its client is still there. */
    ClientPresence clientPresence() {
        return client.presence();
    }

    /** Records that the message of this attempt is about to be written to a connection. */
    void onAttemptWriting(UpstreamAttempt attempt) {
        writingAttempt = attempt;
    }

    /** Returns whether a response may be streamed, so that its end is up to the server and the client. */
    boolean mayStreamResponse() {
        return listener.mayStreamResponse(this);
    }

    /** Returns whether its client has sent another request behind it, which has to wait for its response. */
    boolean hasRequestBehind() {
        return isReceived() && client.hasPipelinedInput();
    }

    /**
     * Starts to stream the response to this attempt. Returns whether it goes to the client: only the first one does. If
     * no response may be streamed, the request fails.
     */
    boolean startResponse(UpstreamAttempt attempt, long length, FlowControl source) {
        if (isEnded() || streamingAttempt != null) {
            return false;
        }
        if (!mayStreamResponse()) {
            respondAndWithdraw(HttpResponseStatus.BAD_GATEWAY);
            return false;
        }
        streamingAttempt = attempt;
        client.startResponse(length, source);
        return true;
    }

    /**
     * Returns the client if this attempt's response is being streamed to it, or null if the response is to be dropped.
     */
    ClientConnection receiverOf(UpstreamAttempt attempt) {
        return streamingAttempt == attempt && !isEnded() ? client : null;
    }

    /** Handles the end of an attempt, whose response may become the final one. */
    void onAttemptEnded(UpstreamAttempt attempt, AttemptResult result, byte[] body) {
        if (isEnded()) {
            return;
        }
        if (streamingAttempt == attempt) {
            endStreamedResponse(result);
        } else if (result == AttemptResult.OK && streamingAttempt == null) {
            respond(HttpResponseStatus.OK, body, 0);
        }
    }

    private void endStreamedResponse(AttemptResult result) {
        boolean complete = result == AttemptResult.OK;
        if (complete) {
            client.endResponse();
        } else {
            client.abortResponse();
        }
        services.metrics().onRequestFinished(className, complete ? RequestOutcome.SERVED : RequestOutcome.FAILED);
        end();
    }

    /** Called right before the outcome of an attempt is reported to the balancer. */
    void onAttemptReported() {
        openAttempts--;
        notifyIfFinished();
    }

    // ---------------------------------------------------------------- end

    /** Sends the final response, unless the request has ended. */
    void respond(HttpResponseStatus status, byte[] body, long retryAfterUs) {
        if (isEnded()) {
            return;
        }
        end();
        services.metrics().onRequestFinished(className, RequestOutcome.ofStatus(status.code()));
        client.sendResponse(status, body, retryAfterUs);
        notifyIfFinished();
    }

    /**
     * Ends the request, as the process is about to be killed. Responds with an error if no response has started: 503 if
     * no attempt was ever requested, else 502. A response that is being streamed goes on if it is large.
     */
    void failPending() {
        if (isEnded()) {
            return;
        }
        if (streamingAttempt != null) {
            streamingAttempt.expireUnlessLarge();
            return;
        }
        boolean neverSent = attempts.isEmpty();
        respondAndWithdraw(neverSent ? HttpResponseStatus.SERVICE_UNAVAILABLE : HttpResponseStatus.BAD_GATEWAY);
    }

    /** Sends a final response that the balancer has not asked for, unless the request has ended. */
    private void respondAndWithdraw(HttpResponseStatus status) {
        if (!isEnded()) {
            respond(status, HttpBodies.EMPTY, 0);
            services.events()
                    .submit(balancer -> balancer.onClientGone(services.clock().nowUs(), id));
        }
    }

    private void end() {
        if (!isEnded()) {
            listener.onEnding(this);
            state = state.ended();
        }
        if (isBodyTruncated() && writingAttempt != null) {
            // The rest of the body, which the server waits for, will not arrive.
            writingAttempt.cancel();
        }
        if (streamingAttempt != null) {
            // Nobody receives the rest of the response, which may have no end.
            streamingAttempt.cancel();
        }
    }

    private boolean isBodyTruncated() {
        return !isReceived()
                || request.streamedBody() != null && request.streamedBody().isTruncated();
    }

    private void notifyIfFinished() {
        if (isEnded() && openAttempts == 0) {
            listener.onFinished(this);
        }
    }
}
