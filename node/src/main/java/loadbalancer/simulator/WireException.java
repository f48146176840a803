package loadbalancer.simulator;

/** The input is not what the wire allows. The message is one line, which names the line, the event and the field. */
public final class WireException extends Exception {
    private static final long serialVersionUID = 1;

    WireException(String message) {
        super(message);
    }
}
