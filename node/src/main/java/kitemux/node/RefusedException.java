package kitemux.node;

/** An operator's call that is not carried out; the message says why. */
final class RefusedException extends Exception {
    private static final long serialVersionUID = 1;

    RefusedException(String message) {
        super(message);
    }
}
