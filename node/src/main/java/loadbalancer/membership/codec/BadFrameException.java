package loadbalancer.membership.codec;

/** Thrown for bytes that are not a valid frame of this fleet. Such frames are counted and dropped. */
public final class BadFrameException extends Exception {
    private static final long serialVersionUID = 1;

    /** Reason for which a frame is rejected. */
    public enum Reason {
        /** Shorter than a header, or without the magic bytes at the start: not a frame at all. */
        BAD_MAGIC,
        CHECKSUM_MISMATCH,
        /** Another version of the format, or a type that this version does not know. */
        UNSUPPORTED_VERSION,
        FOREIGN_FLEET,
        /** The content or the length is invalid, or the type is not allowed here. */
        MALFORMED
    }

    private final Reason reason;
    private final String field;

    /** @param field first field that is invalid */
    BadFrameException(Reason reason, String field) {
        // No stack trace, and the message is built on demand, so that a flood of invalid frames costs little.
        super(null, null, false, false);
        this.reason = reason;
        this.field = field;
    }

    /** Returns the exception for a frame on a connection whose length is not allowed. */
    public static BadFrameException badLength() {
        return new BadFrameException(Reason.MALFORMED, "length");
    }

    public Reason reason() {
        return reason;
    }

    /** First field that could not be read. */
    public String field() {
        return field;
    }

    @Override
    public String getMessage() {
        return reason + " at " + field;
    }
}
