package loadbalancer.discovery;

/**
 * Tells where a list in JSON ends that may be indented, over several lines: where every bracket is closed. A
 * blank line ends it too, as it is a beat, and what was open before one will never be whole.
 */
final class JsonDocumentFramer {
    private int open;
    private boolean quoted;
    private boolean escaped;
    private boolean blank = true;

    /** What came next, up to the end of a line at most. */
    void heed(byte[] part) {
        for (byte b : part) {
            blank &= Character.isWhitespace(b);
            if (quoted) {
                quoted = escaped || b != '"';
                escaped = !escaped && b == '\\';
            } else {
                quoted = b == '"';
                open += b == '{' || b == '[' ? 1 : b == '}' || b == ']' ? -1 : 0;
            }
        }
    }

    /** A line has ended; true if what it belongs to has, too, or never will. */
    boolean endLine() {
        boolean ends = open <= 0 || blank;
        blank = true;
        if (ends) {
            open = 0;
            quoted = false;
            escaped = false;
        }
        return ends;
    }
}
