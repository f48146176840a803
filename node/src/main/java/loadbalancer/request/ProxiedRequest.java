package loadbalancer.request;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.admin.RequestOutcome;
import loadbalancer.client.ClientConnection;
import loadbalancer.client.ClientRequest;
import loadbalancer.common.Log;
import loadbalancer.policy.AttemptResult;
import loadbalancer.policy.BalancerRequest;
import loadbalancer.transfer.RequestBody;

/** A client's request from its coming until its last attempt has ended. */
final class ProxiedRequest implements ClientConnection.CloseListener, PolicyEventQueue.FailureHandler {
    private static final byte[] NO_BODY = {};

    /** Whoever keeps all requests. */
    interface Keeper {
        /** All of a request has come. */
        void cameWhole(ProxiedRequest request);

        /** It has its final answer, or needs none any more. */
        void ended(ProxiedRequest request);

        /** Nothing will be heard of it any more. */
        void over(ProxiedRequest request);
    }

    final long id;
    final ClientRequest request;
    private final ClientConnection client;
    private final String className;
    private final int maxAttempts;
    private final Keeper keeper;
    private final RequestServices services;
    /** By when it wants its answer; not known until all of it has come. */
    private long deadlineUs = Long.MAX_VALUE;

    private final List<UpstreamAttempt> attempts = new ArrayList<>(1);
    private int outstanding;
    /** The attempt whose message is on a connection, and the one whose answer flows to the client. */
    private UpstreamAttempt carried;

    private UpstreamAttempt answering;
    private boolean whole;
    private boolean ended;

    ProxiedRequest(
            long id,
            ClientRequest request,
            ClientConnection client,
            String className,
            int maxAttempts,
            Keeper keeper,
            RequestServices services) {
        this.id = id;
        this.request = request;
        this.client = client;
        this.className = className;
        this.maxAttempts = maxAttempts;
        this.keeper = keeper;
        this.services = services;
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

    boolean isWhole() {
        return whole;
    }

    boolean isEnded() {
        return ended;
    }

    /** Logs that it ended this much after its deadline. */
    void logLate(long lateUs) {
        Log.warn(
                "request_late",
                "txn",
                request.head().txn(),
                "late_ms",
                lateUs / 1_000,
                "attempts",
                attempts.size(),
                "in_flight",
                outstanding,
                "streaming",
                answering != null);
    }

    /** Whether nothing will be heard of it any more. */
    boolean isOver() {
        return ended && outstanding == 0;
    }

    // ---------------------------------------------------------------- its client

    /** Follows the body that flows behind it, or takes it for whole. */
    void begin() {
        if (request.upload() == null) {
            keeper.cameWhole(this);
            return;
        }
        request.upload().follow(new RequestBody.Listener() {
            @Override
            public void bound() {
                int attempt = carried.number();
                services.events()
                        .submit(
                                ProxiedRequest.this,
                                module -> module.onFirstByte(services.clock().nowUs(), id, attempt));
            }

            @Override
            public void whole() {
                keeper.cameWhole(ProxiedRequest.this);
            }
        });
    }

    /** Tells the module of it, and that its client wants the answer by then. */
    void ask(long wantedUs) {
        ClientRequest.Head head = request.head();
        services.events().submit(this, module -> {
            long nowUs = services.clock().nowUs();
            long waitedUs = Math.max(0, nowUs - arrivedAtUs());
            module.onRequest(
                    nowUs,
                    new BalancerRequest(
                            id,
                            head.classIndex(),
                            head.tenant(),
                            Math.max(0, wantedUs - nowUs + waitedUs),
                            head.workUs(),
                            head.retry(),
                            head.key(),
                            waitedUs));
        });
    }

    /** All of it has come: its time runs. */
    void wholeUntil(long atUs) {
        whole = true;
        deadlineUs = atUs;
        attempts.stream().filter(attempt -> !attempt.isOver()).forEach(UpstreamAttempt::cameWhole);
    }

    @Override
    public void onClientGone() {
        services.events().submit(this, module -> {
            end();
            module.onClientGone(services.clock().nowUs(), id);
            forgetIfOver();
        });
    }

    @Override
    public void onBalancerFailure() {
        if (!ended) {
            answer(HttpResponseStatus.INTERNAL_SERVER_ERROR, NO_BODY, 0);
            services.events()
                    .submit(module -> module.onClientGone(services.clock().nowUs(), id));
        }
    }

    // ---------------------------------------------------------------- its attempts

    /** Whether an attempt of this number may still go out. */
    boolean admits(int number) {
        return number < maxAttempts
                && !ended
                && (request.upload() == null || request.upload().isFree());
    }

    void send(String serverId, long beginByUs, long untilUs) {
        UpstreamAttempt attempt = new UpstreamAttempt(this, attempts.size(), serverId, beginByUs, untilUs, services);
        attempts.add(attempt);
        outstanding++;
        // Behind all that has come by this turn of the loop, and behind all timers that are due: where those
        // came late, the client may have left since it asked, the server been told to drain, or time run out.
        services.loop()
                .schedule(
                        () -> {
                            client.notifyIfClosed();
                            attempt.begin();
                        },
                        0,
                        TimeUnit.NANOSECONDS);
    }

    void cancel(int attempt) {
        attempts.get(attempt).cancel();
    }

    /** An attempt's message is on a connection. */
    void carriedBy(UpstreamAttempt attempt) {
        carried = attempt;
    }

    /** The answer to an attempt flows; true if it flows to the client, as the first one does. */
    boolean beginAnswer(long length, UpstreamAttempt by) {
        if (ended || answering != null) {
            return false;
        }
        answering = by;
        client.startResponse(length, by);
        return true;
    }

    /** The client, where this attempt's answer flows to it; null where nobody wants what comes. */
    ClientConnection takes(UpstreamAttempt by) {
        return answering == by && !ended ? client : null;
    }

    /** An attempt has ended; its answer may be the final one. */
    void attemptEnded(UpstreamAttempt attempt, AttemptResult result, byte[] body) {
        if (answering == attempt && !ended) {
            if (result == AttemptResult.OK) {
                client.endResponse();
            } else {
                client.abortResponse();
            }
            services.metrics()
                    .onRequestFinished(
                            className, result == AttemptResult.OK ? RequestOutcome.SERVED : RequestOutcome.FAILED);
            end();
        } else if (result == AttemptResult.OK && !ended && answering == null) {
            answer(HttpResponseStatus.OK, body, 0);
        }
    }

    /** The module is about to hear of an attempt's end. */
    void attemptTold() {
        outstanding--;
        forgetIfOver();
    }

    // ---------------------------------------------------------------- its end

    /** The one final answer; nothing is sent for the request after it. */
    void answer(HttpResponseStatus status, byte[] body, long retryAfterUs) {
        if (ended) {
            return;
        }
        end();
        services.metrics()
                .onRequestFinished(
                        className,
                        switch (status.code()) {
                            case 200 -> RequestOutcome.SERVED;
                            case 503 -> RequestOutcome.REJECTED;
                            default -> RequestOutcome.FAILED;
                        });
        client.sendResponse(status, body, retryAfterUs);
        forgetIfOver();
    }

    /** Answers it without waiting any longer, as the process ends; an answer that flows goes on. */
    void failPending() {
        if (!ended && answering == null) {
            answer(
                    attempts.isEmpty() ? HttpResponseStatus.SERVICE_UNAVAILABLE : HttpResponseStatus.BAD_GATEWAY,
                    NO_BODY,
                    0);
            services.events()
                    .submit(module -> module.onClientGone(services.clock().nowUs(), id));
        }
    }

    private void end() {
        if (!ended) {
            keeper.ended(this);
        }
        ended = true;
        if (!whole && carried != null) {
            // The rest of what the server was to get will not come.
            carried.cancel();
        }
    }

    private void forgetIfOver() {
        if (isOver()) {
            keeper.over(this);
        }
    }
}
