package loadbalancer.membership;

import java.io.IOException;

/** Thrown if a response is not from a member of a fleet, or is in a format that this version does not support. */
public final class NotAMemberException extends IOException {
    private static final long serialVersionUID = 1;

    NotAMemberException(String message, Throwable cause) {
        super(message, cause);
    }
}
