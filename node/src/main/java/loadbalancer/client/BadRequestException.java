package loadbalancer.client;

/**
 * Thrown for a request whose head violates the protocol. Its message is the body of the response with status 400,
 * except to HEAD, so clients see the text.
 */
final class BadRequestException extends Exception {
    private static final long serialVersionUID = 2;

    /** The rule that a request violates. */
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

    /** The header names a class that no configuration in force accepts. */
    static BadRequestException unknownClass(String header) {
        return new BadRequestException(Reason.UNKNOWN_CLASS, header + " names no class");
    }

    /** The class is known, but its requests use another method. */
    static BadRequestException methodMismatch() {
        return new BadRequestException(Reason.METHOD_MISMATCH, "the class does not go with the method");
    }

    /** The request has an idempotency key that its class does not allow, or lacks one that its class requires. */
    static BadRequestException idempotencyKeyMismatch(String header) {
        return new BadRequestException(Reason.IDEMPOTENCY_KEY_MISMATCH, header + " does not go with the class");
    }

    Reason reason() {
        return reason;
    }
}
