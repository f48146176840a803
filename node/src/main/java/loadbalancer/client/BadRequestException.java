package loadbalancer.client;

/**
 * A request that cannot be used. The message is sent to the client as the body of the response, so its text is part of
 * what clients see.
 */
final class BadRequestException extends Exception {
    private static final long serialVersionUID = 2;

    /** Why a request cannot be used. */
    enum Reason {
        MISSING_HEADER,
        DUPLICATE_HEADER,
        UNREADABLE_HEADER,
        UNKNOWN_CLASS,
        METHOD_MISMATCH,
        IDEMPOTENCY_KEY_MISMATCH
    }

    private final Reason reason;

    private BadRequestException(Reason reason, String message) {
        super(message);
        this.reason = reason;
    }

    static BadRequestException missingHeader(String name) {
        return new BadRequestException(Reason.MISSING_HEADER, name + " is missing");
    }

    static BadRequestException duplicateHeader(String name) {
        return new BadRequestException(Reason.DUPLICATE_HEADER, name + " is given twice");
    }

    static BadRequestException unreadableHeader(String name) {
        return new BadRequestException(Reason.UNREADABLE_HEADER, name + " cannot be read");
    }

    /** The field that names the class names none that is in force. */
    static BadRequestException unknownClass(String header) {
        return new BadRequestException(Reason.UNKNOWN_CLASS, header + " names no class");
    }

    /** The class is known, but its requests come with another method. */
    static BadRequestException methodMismatch() {
        return new BadRequestException(Reason.METHOD_MISMATCH, "the class does not go with the method");
    }

    /** An idempotency key where the class has none, or none where the class wants one. */
    static BadRequestException idempotencyKeyMismatch(String header) {
        return new BadRequestException(Reason.IDEMPOTENCY_KEY_MISMATCH, header + " does not go with the class");
    }

    Reason reason() {
        return reason;
    }
}
