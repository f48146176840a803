package kitemux.cli;

/** Something that the caller can mend, told in one line or a few. */
final class ToldException extends RuntimeException {
    private static final long serialVersionUID = 1;

    ToldException(String message) {
        super(message);
    }
}
