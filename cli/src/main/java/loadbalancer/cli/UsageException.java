package loadbalancer.cli;

/** An error that the caller can correct. The message of one or more lines is printed without a stack trace. */
final class UsageException extends RuntimeException {
    private static final long serialVersionUID = 1;

    UsageException(String message) {
        super(message);
    }
}
