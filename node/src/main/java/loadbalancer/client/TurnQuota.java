package loadbalancer.client;

import loadbalancer.eventloop.LoopLagMeter;

/**
 * Limits the requests that one connection starts in a turn of the event loop. Without a limit, a client that sends many
 * requests at once which need no server would keep the loop from all others. Used on the event loop only.
 */
final class TurnQuota {
    private static final int MAX_REQUESTS = 8;

    private final LoopLagMeter loop;
    private long turn;
    private int requests;

    TurnQuota(LoopLagMeter loop) {
        this.loop = loop;
    }

    /** Counts a request that starts now, and returns whether it is the last one for this turn. */
    boolean isUsedUp() {
        long currentTurn = loop.turnNumber();
        requests = currentTurn == turn ? requests + 1 : 1;
        turn = currentTurn;
        return requests >= MAX_REQUESTS;
    }
}
