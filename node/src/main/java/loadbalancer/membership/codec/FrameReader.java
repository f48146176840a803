package loadbalancer.membership.codec;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import loadbalancer.membership.codec.BadFrameException.Reason;
import loadbalancer.membership.core.Member;

/**
 * Reads the content of a frame field by field. Throws BadFrameException, which names the field, if a value has the
 * wrong type or is out of bounds.
 */
final class FrameReader {
    /** A larger generation or refutation count could overflow when a member increments it. */
    private static final long MAX_NUMBER = 1L << 62;

    private final JsonParser parser;

    FrameReader(JsonParser parser) {
        this.parser = parser;
    }

    static void require(boolean holds, String field) throws BadFrameException {
        if (!holds) {
            throw new BadFrameException(Reason.MALFORMED, field);
        }
    }

    private void requireNext(JsonToken token, String field) throws IOException, BadFrameException {
        require(parser.nextToken() == token, field);
    }

    void beginArray(String field) throws IOException, BadFrameException {
        requireNext(JsonToken.START_ARRAY, field);
    }

    /** Whether another array element follows. An element begins with a string: see {@link #currentText}. */
    boolean nextElement() throws IOException {
        return parser.nextToken() == JsonToken.VALUE_STRING;
    }

    String currentText() throws IOException {
        return parser.getText();
    }

    /** Ends an array, after {@link #nextElement} has returned false. */
    void endArray(String field) throws BadFrameException {
        require(parser.currentToken() == JsonToken.END_ARRAY, field);
    }

    /** Requires that the content ends here and that no bytes follow. */
    void end() throws IOException, BadFrameException {
        requireNext(JsonToken.END_ARRAY, "end");
        require(parser.nextToken() == null, "end");
    }

    long anyNumber(String field) throws IOException, BadFrameException {
        requireNext(JsonToken.VALUE_NUMBER_INT, field);
        return parser.getLongValue();
    }

    /** Reads a number from 0 to {@value #MAX_NUMBER}. */
    long number(String field) throws IOException, BadFrameException {
        long number = anyNumber(field);
        require(number >= 0 && number <= MAX_NUMBER, field);
        return number;
    }

    String text(String field) throws IOException, BadFrameException {
        requireNext(JsonToken.VALUE_STRING, field);
        return parser.getText();
    }

    /** Reads a string that is valid as a name, address, zone or role. */
    String name(String field) throws IOException, BadFrameException {
        return validName(text(field), field);
    }

    static String validName(String name, String field) throws BadFrameException {
        require(Member.isValidName(name), field);
        return name;
    }
}
