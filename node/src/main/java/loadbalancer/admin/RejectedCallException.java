package loadbalancer.admin;

/** Thrown if an operator's call is rejected; the message is the reason. */
public final class RejectedCallException extends Exception {
    private static final long serialVersionUID = 1;

    RejectedCallException(String message) {
        super(message);
    }
}
