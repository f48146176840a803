package loadbalancer.discovery;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.TooLongFrameException;
import java.io.ByteArrayOutputStream;

/**
 * Splits a byte stream into JSON documents. A document ends with the line on which its last bracket is closed, so it
 * may span several lines.
 *
 * <p>A blank line between documents is a document of its own, a heartbeat. A blank line inside a document ends it
 * although brackets are still open: the document is truncated. Without this rule everything after it would be read as
 * part of it.
 */
final class JsonDocumentFramer {
    /**
     * The maximum size of a document. An indented list of 19,000 servers takes about 6 MB. Without a limit, a document
     * that never ends would exhaust the memory.
     */
    private static final int MAX_DOCUMENT_BYTES = 8 << 20;

    private final ByteArrayOutputStream document = new ByteArrayOutputStream();
    private int openBrackets;
    private boolean inString;
    private boolean afterBackslash;
    private boolean blankLine = true;

    /**
     * Reads up to the end of the next document, or all readable bytes if the document does not end within them.
     *
     * @return the document including its last line break; null if more bytes are needed
     * @throws TooLongFrameException if the document is longer than 8 MiB; the framer must not be used afterwards
     */
    byte[] readDocument(ByteBuf bytes) {
        while (bytes.isReadable()) {
            int lineLength = bytes.bytesBefore((byte) '\n');
            boolean lineEnds = lineLength >= 0;
            byte[] part = new byte[lineEnds ? lineLength + 1 : bytes.readableBytes()];
            bytes.readBytes(part);
            document.writeBytes(part);
            scan(part);
            if (document.size() > MAX_DOCUMENT_BYTES) {
                throw new TooLongFrameException("more than " + MAX_DOCUMENT_BYTES + " bytes");
            }
            if (lineEnds && endLine()) {
                byte[] complete = document.toByteArray();
                document.reset();
                return complete;
            }
        }
        return null;
    }

    /** Updates the string and bracket state with a part of a line. */
    private void scan(byte[] part) {
        for (byte b : part) {
            blankLine &= Character.isWhitespace(b);
            if (inString) {
                inString = afterBackslash || b != '"';
                afterBackslash = !afterBackslash && b == '\\';
            } else if (b == '"') {
                inString = true;
            } else if (b == '{' || b == '[') {
                openBrackets++;
            } else if (b == '}' || b == ']') {
                openBrackets--;
            }
        }
    }

    /** Ends the current line and returns whether the document ends with it; if so, resets the scan state. */
    private boolean endLine() {
        boolean ends = openBrackets <= 0 || blankLine;
        blankLine = true;
        if (ends) {
            openBrackets = 0;
            inString = false;
            afterBackslash = false;
        }
        return ends;
    }
}
