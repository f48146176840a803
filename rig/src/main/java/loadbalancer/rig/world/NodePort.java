package loadbalancer.rig.world;

/** One node as clients, the front and faults reach it: a simulated one or a process. */
public interface NodePort {
    /** After SIGTERM the front still deals it new requests for so long, as it has yet to notice. */
    long STILL_ASKED_US = 300_000;
    /** And it is killed at the latest after this. */
    long MOST_END_US = 3_700_000;

    /** How a request came back to its client. */
    enum Answer {
        OK,
        REFUSED,
        FAILED,
        /** The node had taken it, and the connection broke. */
        BROKEN,
        /** The node never had it. */
        UNREACHABLE
    }

    /**
     * One try of a client.
     *
     * @param workUs what it takes on a standard core; nodes are not told
     * @param leftUs how long the client will wait
     */
    record Try(long id, int classIndex, String key, double workUs, long remainingUs, boolean repeat) {}

    /** Whom to tell of the answer, once. */
    interface Asker {
        void answered(Answer answer);
    }

    String name();

    int zone();

    /** Starts its process; it takes requests once it is ready. */
    void start();

    /** Ends it at once; what it holds is lost. */
    void kill();

    /** Asks it to end: it takes nothing new after a while, serves what it holds, and goes. */
    void end();

    /** Whether it takes requests. */
    boolean isReady();

    /** Since when it has been as it is. */
    long sinceUs();

    /** Asks it on behalf of a client; never answers from inside this call. */
    void ask(Try asked, Asker asker);

    /** The client of this try has gone. */
    void left(long id);

    /** Operators take an app server out by hand, or let it in again. */
    void cordon(String server, boolean out);
}
