package loadbalancer.cli;

/** Something that the caller can mend, told in one line or a few. */
final class UsageException extends RuntimeException {
    private static final long serialVersionUID = 1;

    UsageException(String message) {
        super(message);
    }
}
