package loadbalancer.membership;

import java.io.IOException;

/** What answers at an address is no member of a fleet, or one whose answer this version does not understand. */
public final class NotAMemberException extends IOException {
    private static final long serialVersionUID = 1;

    NotAMemberException(String message, Throwable cause) {
        super(message, cause);
    }
}
