package loadbalancer.membership;

/** Bytes that are no message of this fleet; they are counted and dropped. */
final class BadFrameException extends Exception {
    private static final long serialVersionUID = 1;

    /** Why. */
    enum Reason {
        NOT_OURS,
        DAMAGED,
        NEWER,
        FOREIGN_FLEET,
        MALFORMED
    }

    private final Reason reason;

    BadFrameException(Reason reason) {
        // Whoever floods a process with garbage must not make it walk its stack for each piece.
        super(reason.name(), null, false, false);
        this.reason = reason;
    }

    Reason reason() {
        return reason;
    }
}
