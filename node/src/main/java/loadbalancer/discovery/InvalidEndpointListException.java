package loadbalancer.discovery;

/** Thrown if an endpoint list lacks a required field or has an invalid one. */
public final class InvalidEndpointListException extends Exception {
    private static final long serialVersionUID = 1;

    private final String field;
    private final String problem;

    InvalidEndpointListException(String field, String problem) {
        super(field + " " + problem);
        this.field = field;
        this.problem = problem;
    }

    /** Returns the path of the field within the list, for example {@code targets[0].state}. */
    public String field() {
        return field;
    }

    /** Returns what is wrong with the field, worded to follow its path. */
    public String problem() {
        return problem;
    }
}
