package loadbalancer.harness.soak;

import java.util.Locale;

/**
 * A class of requests in the soak's configuration.
 *
 * @param name the class in the settings
 * @param idempotent whether its requests may run more than once
 * @param remainingMs how long its clients wait for a response
 */
record RequestKind(String name, boolean idempotent, int remainingMs) {
    static final RequestKind SEARCH = new RequestKind("search", true, 1_200);
    static final RequestKind ORDER = new RequestKind("order", false, 2_000);

    /** Clients that read responses one after the other need an answer to the last one in this time as well. */
    static final RequestKind REPORT = new RequestKind("report", false, 2_600);

    private static final RequestKind[] ALL = {SEARCH, ORDER, REPORT};

    static RequestKind of(int number) {
        return ALL[Math.floorMod(number, ALL.length)];
    }

    /** Returns the entry of the node's configuration file. */
    String settings() {
        return String.format(
                Locale.ROOT,
                "{\"name\":\"%s\",\"repeat\":\"%s\",\"onTimeUs\":%d,\"giveUpUs\":%d,\"importance\":1,"
                        + "\"lateWorth\":0.0,\"stream\":false,\"group\":\"all\",\"windowUs\":5000000}",
                name,
                idempotent ? "safe" : "unsafe",
                remainingMs * 500,
                remainingMs * 1_000);
    }
}
