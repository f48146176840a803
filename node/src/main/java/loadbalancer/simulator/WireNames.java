package loadbalancer.simulator;

/**
 * The names of lines and fields and the values of the simulator's protocol. In this package, "wire" means that protocol
 * only. A roster is a numbered list of servers; notifications of the endpoint list refer to it by its number. Each
 * constant maps a name of the protocol, which never changes, to the name that the code uses. The names of events are in
 * {@link EventType}, those of the settings in a boot event in the package {@code loadbalancer.settings}.
 */
final class WireNames {
    // Lines that start and end a batch of events, and the line that ends the response to it.
    static final String BEGIN_BATCH = "begin_batch";
    static final String END_BATCH = "eob";
    static final String NEXT_BATCH = "next";

    // Fields that occur in several kinds of lines.
    static final String NODE = "node";
    static final String REQUEST_ID = "handle";
    static final String ATTEMPT = "seqNo";
    static final String SERVER_ID = "server";
    static final String NOW_US = "timeUs";
    static final String RESULT = "rc";
    static final String LATENCY_US = "latencyUs";
    static final String LOAD_REPORT = "metrics";
    static final String ROSTER_NUMBER = "setId";

    // Boot of a node.
    static final String SEED = "initSeed";

    // Rosters and their servers.
    static final String ROSTER_SIZE = "nodesList";
    static final String ROSTER_SERVER = "server";
    static final String ZONE = "site";
    static final String CELL = "block";
    static final String SERVER_STATE = "lifecycle";
    static final String STATE_READY = "Running";
    static final String STATE_DRAINING = "Stopping";
    static final String STATE_GONE = "Deleted";
    static final String CAPACITY = "scale";
    static final String STARTED_AT_US = "sinceUs";

    // Notifications of the endpoint list.
    static final String LIST_KIND = "kind";
    static final String KIND_CHANGES = "patch";
    static final String KIND_FULL = "whole";
    static final String KIND_CACHED = "stale_copy";
    static final String KIND_FAILED = "broken";

    // Requests.
    static final String CLASS = "lane";
    static final String TENANT = "realm";
    static final String NO_TENANT = "0";
    static final String REMAINING_US = "patienceLeftUs";
    static final String WORK_US = "workUs";
    static final String REPEATED = "resent";
    static final String KEY = "routeKey";

    // Outcomes of attempts and probes.
    static final String STREAM_ENDED = "ended";
    static final int RESULT_OK = 10;
    static final int RESULT_ERROR = 20;
    static final int RESULT_FULL = 30;
    static final int RESULT_TIMEOUT = 40;
    static final int RESULT_CONNECT_FAILED = 50;
    static final int RESULT_RESET = 60;
    static final int RESULT_CANCELLED = 70;
    static final int RESULT_MOOT = 80;

    // Actions.
    static final String SEND = "route";
    static final String SEND_END_BY_US = "untilUs";
    static final String CANCEL = "abort_attempt";
    static final String REJECT = "decline";
    static final String RETRY_AFTER_US = "retryInUs";
    static final String FAIL = "lose";
    static final String WAKE = "remind";
    static final String WAKE_AT_US = "dueAtUs";
    static final String WAKE_LABEL = "label";
    static final String PROBE = "sound_out";
    static final String CLOSE_IDLE = "drop_conns";
    static final String SUBSCRIBE = "track";
    static final String SUBSCRIBED = "want";
    static final String NOTE = "record";
    static final String FAULT = "fault";
    static final String NOTE_TEXT = "noteText";

    private WireNames() {}
}
