package loadbalancer.simulator;

/**
 * Thrown if the input violates the wire protocol. The message is one line with the line number and, for an invalid
 * field, the names of the event and the field.
 */
public final class WireException extends Exception {
    private static final long serialVersionUID = 1;

    WireException(String message) {
        super(message);
    }
}
