package loadbalancer.request;

import java.util.Locale;

/** Why the node ended an attempt by itself, for the log. */
enum EndReason {
    /** The time of the client is over. */
    DEADLINE,
    /** The server has neither read nor sent anything for too long. */
    STALLED,
    /** The process is about to end. */
    SHUTDOWN;

    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
