package loadbalancer.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Which header fields of a request are kept. */
class RequestHeadersFactoryTest {
    private final HttpHeaders headers = new RequestHeadersFactory().newHeaders();

    @Test
    void keepsAllValuesOfUsedFieldsInAnyCase() {
        headers.add((CharSequence) "x-txn", "one");
        headers.add((CharSequence) "X-Txn", "two");
        headers.add((CharSequence) "CONTENT-LENGTH", "3");
        assertEquals(List.of("one", "two"), headers.getAll("X-Txn"));
        assertEquals(3, headers.size());
    }

    /** Guards against heads whose fields take a hundred times their size. */
    @Test
    void dropsUnusedFields() {
        for (int i = 0; i < 1_000; i++) {
            headers.add((CharSequence) ("a" + i), "1");
        }
        assertEquals(0, headers.size());
    }

    /** Guards against accepting a malformed head because its bad field is not used. */
    @Test
    void rejectsInvalidUnusedFields() {
        assertThrows(IllegalArgumentException.class, () -> headers.add((CharSequence) "a b", "1"));
        assertThrows(IllegalArgumentException.class, () -> headers.add((CharSequence) "a", "x\u0000y"));
    }
}
