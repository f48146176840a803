package kitemux.node;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/** All requests that a node holds. */
final class Requests implements ClientServer.Handler, RequestLife.Keeper {
    private static final byte[] NO_BODY = {};
    /** Clients take an answer for lost that comes half a second after its time. */
    private static final long LATE_US = 250_000;

    private final Means means;
    private final Supplier<Tuning> tuning;
    private final Map<Long, RequestLife> held = new HashMap<>();
    /** How many of these have come whole and not had the end of their final answer. */
    private int open;

    private long lastId;
    private long endsAtUs = Long.MAX_VALUE;

    /** @param tuning the classes as they are when a request comes */
    Requests(Means means, Supplier<Tuning> tuning) {
        this.means = means;
        this.tuning = tuning;
    }

    /** How many have come whole and wait for the end of their answer. */
    int open() {
        return open;
    }

    /** What comes from now on is to have its answer by then, when {@link #cutOff} is due. */
    void endAt(long atUs) {
        endsAtUs = atUs;
    }

    /** Answers whatever has no answer yet: the process will be killed soon. */
    void cutOff() {
        List.copyOf(held.values()).forEach(RequestLife::cutOff);
    }

    @Override
    public void asked(ClientConnection client, ClientRequest request) {
        Tuning now = tuning.get();
        ClientRequest.Head head = request.head();
        RequestLife taken = new RequestLife(
                ++lastId,
                request,
                client,
                now.known().get(head.classIndex()).name(),
                now.settings().maxAttempts,
                this,
                means);
        client.hold(taken);
        held.put(taken.id, taken);
        taken.begin();
        taken.ask(Math.min(endsAtUs, taken.arrivedAtUs() + head.leftUs()));
    }

    @Override
    public void cameWhole(RequestLife request) {
        if (!request.isEnded()) {
            open++;
            long wholeAtUs = request.request.upload() == null
                    ? request.arrivedAtUs()
                    : means.clock().nowUs();
            request.wholeUntil(
                    Math.min(endsAtUs, wholeAtUs + request.request.head().leftUs()));
        }
    }

    @Override
    public void ended(RequestLife request) {
        open -= request.isWhole() ? 1 : 0;
        long lateUs = means.clock().nowUs() - request.deadlineUs();
        if (lateUs > LATE_US) {
            Log.line("request " + request.request.head().txn() + " ended " + lateUs / 1_000 + " ms late, "
                    + request.told());
        }
    }

    @Override
    public void over(RequestLife request) {
        held.remove(request.id);
        if (request.request.upload() != null) {
            request.request.upload().release();
        }
    }

    /** Gives up attempts whose servers neither take nor give anything of what flows. */
    void expireStalled() {
        long nowUs = means.clock().nowUs();
        List.copyOf(means.flowing()).stream()
                .filter(attempt -> attempt.isStalled(nowUs))
                .forEach(AttemptLife::expire);
    }

    // ---------------------------------------------------------------- what the module asks for

    void send(long requestId, String serverId, long beginByUs, long untilUs) {
        RequestLife request = held.get(requestId);
        // Where the body flows, the module does not know yet by when the client wants its answer.
        boolean known = untilUs != 0 && request.request.upload() == null;
        request.send(serverId, beginByUs, known ? untilUs : Long.MAX_VALUE);
    }

    void cancel(long requestId, int attempt) {
        RequestLife request = held.get(requestId);
        if (request != null) {
            request.cancel(attempt);
        }
    }

    /** The final answer that no server made: refused or failed. */
    void finish(long requestId, HttpResponseStatus status, long retryAfterUs) {
        RequestLife request = held.get(requestId);
        if (request != null) {
            request.answer(status, NO_BODY, retryAfterUs);
        }
    }
}
