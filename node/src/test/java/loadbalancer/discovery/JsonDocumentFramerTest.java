package loadbalancer.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.TooLongFrameException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Splitting a byte stream into documents. */
class JsonDocumentFramerTest {
    private final JsonDocumentFramer framer = new JsonDocumentFramer();

    private List<String> read(String text) {
        ByteBuf bytes = Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
        List<String> documents = new ArrayList<>();
        while (bytes.isReadable()) {
            byte[] document = framer.readDocument(bytes);
            if (document != null) {
                documents.add(new String(document, StandardCharsets.UTF_8));
            }
        }
        return documents;
    }

    @Test
    void eachLineIsADocumentAndBlankLinesAreHeartbeats() {
        assertEquals(List.of("{\"a\":1}\n", "\n", " \r\n", "[2]\n"), read("{\"a\":1}\n\n \r\n[2]\n"));
    }

    @Test
    void documentEndsWithTheLineOfItsLastBracket() {
        String indented = "{\n  \"a\": [\n    1\n  ]\n}\r\n";
        assertEquals(List.of(indented, "{}\n"), read(indented + "{}\n"));
    }

    @Test
    void bracketsAndQuotesInStringsAreIgnored() {
        String document = "{\"a\":\"]}\\\"}\\\\\",\n\"b\":1}\n";
        assertEquals(List.of(document), read(document));
    }

    @Test
    void documentIsReadFromSingleBytes() {
        String document = "{\"a\\\"\":[\n1]}\n";
        for (int i = 0; i < document.length() - 1; i++) {
            assertEquals(List.of(), read(document.substring(i, i + 1)));
        }
        assertEquals(List.of(document), read("\n"));
    }

    /**
     * The service stops in the middle of a document and continues with heartbeats. If the brackets stayed open, all
     * later documents would be read as part of the truncated one.
     */
    @Test
    void blankLineEndsATruncatedDocument() {
        assertEquals(List.of("{\"a\":[\"b\n\n", "{}\n"), read("{\"a\":[\"b\n\n{}\n"));
    }

    /** The service sends a document that never ends. Without a limit it would exhaust the memory of the node. */
    @Test
    void documentOverTheSizeLimitIsRejected() {
        ByteBuf bytes = Unpooled.wrappedBuffer(new byte[8 << 20]);
        assertNull(framer.readDocument(bytes));
        ByteBuf oneMore = Unpooled.wrappedBuffer(new byte[1]);
        assertThrows(TooLongFrameException.class, () -> framer.readDocument(oneMore));
    }
}
