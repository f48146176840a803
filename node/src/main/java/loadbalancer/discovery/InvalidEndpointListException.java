package loadbalancer.discovery;

/** An endpoint list does not have the form that the discovery service writes. */
public final class InvalidEndpointListException extends Exception {
    private static final long serialVersionUID = 1;

    private final String field;
    private final String problem;

    InvalidEndpointListException(String field, String problem) {
        super(field + " " + problem);
        this.field = field;
        this.problem = problem;
    }

    /** The path of the field within the list, for example {@code targets[0].state}. */
    public String field() {
        return field;
    }

    /** What is wrong with the field, to be written behind its name. */
    public String problem() {
        return problem;
    }
}
