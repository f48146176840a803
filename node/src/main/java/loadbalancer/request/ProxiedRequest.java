package loadbalancer.request;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.admin.RequestOutcome;
import loadbalancer.client.ClientConnection;
import loadbalancer.client.ClientRequest;
import loadbalancer.http.HttpBodies;
import loadbalancer.policy.AttemptResult;
import loadbalancer.transfer.FlowControl;
import loadbalancer.transfer.RequestBody;

/**
 * A client's request from its arrival until it is finished: it has ended, and the balancer has heard of the end of each
 * attempt.
 *
 * <p>It owns the one final response. It ends by that response, or when its client is gone, and only once; whatever
 * comes later, from attempts or from the balancer, sends nothing. Each attempt that it has started ends once and is
 * then counted down. Runs on the event loop.
 */
final class ProxiedRequest implements ClientConnection.CloseListener, PolicyEventQueue.FailureHandler {
    /** Follows the life of requests. */
    interface Listener {
        /** All of the request has arrived. */
        void onReceived(ProxiedRequest request);

        /** The request is about to end: it has its final response, or needs none any more. Called once. */
        void onEnding(ProxiedRequest request);

        /** Nothing will happen to the request any more. */
        void onFinished(ProxiedRequest request);
    }

    private final long id;
    private final ClientRequest request;
    private final ClientConnection client;
    private final String className;
    private final int maxAttempts;
    private final Listener listener;
    private final RequestServices services;

    private RequestState state = RequestState.RECEIVING;
    /** By when the client wants its response; not known until all of the request has arrived. */
    private long deadlineUs = Long.MAX_VALUE;

    private final List<UpstreamAttempt> attempts = new ArrayList<>(1);
    /** How many attempts there are of whose end the balancer has not heard. */
    private int openAttempts;

    /** The attempt whose message was last written to a connection. */
    private UpstreamAttempt writingAttempt;
    /** The attempt whose response is streamed to the client. */
    private UpstreamAttempt streamingAttempt;

    ProxiedRequest(
            long id,
            ClientRequest request,
            ClientConnection client,
            String className,
            int maxAttempts,
            Listener listener,
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

    /** When it arrived, at the earliest: before it was read, where the loop was held up. */
    long arrivedAtUs() {
        return services.clock().unixMicrosOf(request.arrivedAtNanos());
    }

    long deadlineUs() {
        return deadlineUs;
    }

    boolean isReceived() {
        return state.isReceived();
    }

    boolean isEnded() {
        return state.isEnded();
    }

    /** How many attempts it has had. */
    int attemptCount() {
        return attempts.size();
    }

    /** How many of its attempts the balancer has not heard the end of. */
    int openAttemptCount() {
        return openAttempts;
    }

    /** Whether its response is streamed, or has been. */
    boolean isResponseStreamed() {
        return streamingAttempt != null;
    }

    // ---------------------------------------------------------------- its arrival

    /** Follows a body that is still arriving; without one the request has arrived in full. */
    void start() {
        if (request.streamedBody() == null) {
            listener.onReceived(this);
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
        public void onReceived() {
            listener.onReceived(ProxiedRequest.this);
        }
    }

    /** All of it has arrived: its time runs until this deadline. Not called once it has ended. */
    void setReceived(long newDeadlineUs) {
        state = state.received();
        deadlineUs = newDeadlineUs;
        attempts.stream().filter(attempt -> !attempt.isEnded()).forEach(UpstreamAttempt::onRequestReceived);
    }

    @Override
    public void onClientGone() {
        services.events().submit(this, balancer -> {
            end();
            balancer.onClientGone(services.clock().nowUs(), id);
            notifyIfFinished();
        });
    }

    @Override
    public void onBalancerFailure() {
        if (!isEnded()) {
            respond(HttpResponseStatus.INTERNAL_SERVER_ERROR, HttpBodies.EMPTY, 0);
            withdrawFromBalancer();
        }
    }

    // ---------------------------------------------------------------- its attempts

    /** Whether an attempt of this number may still go out. */
    boolean allowsAttempt(int number) {
        return number < maxAttempts
                && !isEnded()
                && (request.streamedBody() == null || request.streamedBody().isReplayable());
    }

    void startAttempt(String serverId, long startByUs, long endByUs) {
        UpstreamAttempt attempt = new UpstreamAttempt(this, attempts.size(), serverId, startByUs, endByUs, services);
        attempts.add(attempt);
        openAttempts++;
        // Behind all that has arrived by this turn of the loop and all timers that are due. Where the loop was held up,
        // the client may have left, the server been told to drain, or time run out; started at once, the attempt would
        // go out all the same.
        services.loop()
                .schedule(
                        () -> {
                            client.notifyIfClosed();
                            attempt.start();
                        },
                        0,
                        TimeUnit.NANOSECONDS);
    }

    void cancelAttempt(int number) {
        attempts.get(number).cancel();
    }

    /** An attempt's message is being written to a connection. */
    void onAttemptWriting(UpstreamAttempt attempt) {
        writingAttempt = attempt;
    }

    /** The response to an attempt is streamed. Returns whether it goes to the client, as the first one does. */
    boolean startResponse(UpstreamAttempt attempt, long length, FlowControl source) {
        if (isEnded() || streamingAttempt != null) {
            return false;
        }
        streamingAttempt = attempt;
        client.startResponse(length, source);
        return true;
    }

    /** The client, where this attempt's response is streamed to it; null where nobody wants the response. */
    ClientConnection receiverOf(UpstreamAttempt attempt) {
        return streamingAttempt == attempt && !isEnded() ? client : null;
    }

    /** An attempt has ended; its response may be the final one. */
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

    /** The balancer is about to hear of an attempt's end. */
    void onAttemptReported() {
        openAttempts--;
        notifyIfFinished();
    }

    // ---------------------------------------------------------------- its end

    /** Sends the one final response, unless the request has ended. */
    void respond(HttpResponseStatus status, byte[] body, long retryAfterUs) {
        if (isEnded()) {
            return;
        }
        end();
        services.metrics().onRequestFinished(className, outcome(status));
        client.sendResponse(status, body, retryAfterUs);
        notifyIfFinished();
    }

    private static RequestOutcome outcome(HttpResponseStatus status) {
        return switch (status.code()) {
            case 200 -> RequestOutcome.SERVED;
            case 503 -> RequestOutcome.REJECTED;
            default -> RequestOutcome.FAILED;
        };
    }

    /** Answers it without waiting any longer, as the process ends; a response that is streamed goes on. */
    void failPending() {
        if (!isEnded() && streamingAttempt == null) {
            boolean neverSent = attempts.isEmpty();
            respond(
                    neverSent ? HttpResponseStatus.SERVICE_UNAVAILABLE : HttpResponseStatus.BAD_GATEWAY,
                    HttpBodies.EMPTY,
                    0);
            withdrawFromBalancer();
        }
    }

    private void withdrawFromBalancer() {
        services.events()
                .submit(balancer -> balancer.onClientGone(services.clock().nowUs(), id));
    }

    private void end() {
        if (!isEnded()) {
            listener.onEnding(this);
            state = state.ended();
        }
        if (!isReceived() && writingAttempt != null) {
            // The rest of what the server was to get will not arrive.
            writingAttempt.cancel();
        }
    }

    private void notifyIfFinished() {
        if (isEnded() && openAttempts == 0) {
            listener.onFinished(this);
        }
    }
}
