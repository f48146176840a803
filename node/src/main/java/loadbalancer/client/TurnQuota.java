package loadbalancer.client;

import loadbalancer.eventloop.LoopClock;

/**
 * Limits how many requests are read in a turn of the event loop. Without a limit, clients that send many requests at
 * once which need no server would keep the loop from all others. Used on the event loop only.
 */
final class TurnQuota {
    private final LoopClock clock;
    private final int maxRequests;
    private long turn;
    private int requests;

    TurnQuota(LoopClock clock, int maxRequests) {
        this.clock = clock;
        this.maxRequests = maxRequests;
    }

    /** Counts a request that is read now, and returns whether no other should be read in this turn. */
    boolean isUsedUp() {
        long currentTurn = clock.turnNumber();
        requests = currentTurn == turn ? requests + 1 : 1;
        turn = currentTurn;
        return requests >= maxRequests;
    }
}
