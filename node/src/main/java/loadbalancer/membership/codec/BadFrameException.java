package loadbalancer.membership.codec;

/** Bytes that are no frame of this fleet. They are counted and dropped. */
public final class BadFrameException extends Exception {
    private static final long serialVersionUID = 1;

    /** What is wrong. */
    public enum Reason {
        /** It does not begin with the magic bytes: not a frame at all. */
        BAD_MAGIC,
        CHECKSUM_MISMATCH,
        /** Of a newer format, or of a type that this version does not know. */
        UNSUPPORTED_VERSION,
        FOREIGN_FLEET,
        /** The content is not what its type requires. */
        MALFORMED
    }

    private final Reason reason;
    private final String field;

    /** @param field where the frame is wrong */
    BadFrameException(Reason reason, String field) {
        // Without a stack trace, and with a message only on demand: a flood of garbage must not cost more than that.
        super(null, null, false, false);
        this.reason = reason;
        this.field = field;
    }

    /** A frame of a connection whose length is not allowed. */
    public static BadFrameException badLength() {
        return new BadFrameException(Reason.MALFORMED, "length");
    }

    public Reason reason() {
        return reason;
    }

    /** Where the frame is wrong: the first field that could not be read. */
    public String field() {
        return field;
    }

    @Override
    public String getMessage() {
        return reason + " at " + field;
    }
}
