package loadbalancer.admin;

/** An operator's call that is not carried out; the message says why. */
public final class RejectedCallException extends Exception {
    private static final long serialVersionUID = 1;

    RejectedCallException(String message) {
        super(message);
    }
}
