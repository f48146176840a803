package loadbalancer.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import loadbalancer.config.ClassRegistry;
import loadbalancer.policy.BalancerSettings;
import loadbalancer.policy.DeduplicationScope;
import loadbalancer.policy.Idempotency;
import loadbalancer.policy.RequestClass;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests parsing of request heads, and the response texts for heads that violate the protocol. */
class RequestReaderTest {
    private static RequestClass requestClass(String name, Idempotency idempotency) {
        return new RequestClass(name, 100_000, 0, 500_000, 1, 0, idempotency, DeduplicationScope.CELL, 900_000, false);
    }

    private static ClientRequest.Head read(HttpMethod method, String fields) throws BadRequestException {
        BalancerSettings settings = new BalancerSettings();
        settings.classes.add(requestClass("page", Idempotency.IDEMPOTENT));
        settings.classes.add(requestClass("photo", Idempotency.IDEMPOTENT_WITH_KEY));
        HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, method, "/api/7f3a?x=1");
        for (String field : fields.split("\\|")) {
            request.headers().add(field.substring(0, field.indexOf(':')), field.substring(field.indexOf(':') + 1));
        }
        return new RequestReader(ClassRegistry.initial(settings)).read(request);
    }

    @Test
    void parsesEachHeaderField() throws Exception {
        ClientRequest.Head head = read(
                HttpMethod.POST,
                "X-Txn:9b1f|X-Lane:photo|X-Remaining:480m|Idempotency-Key:5c0f|X-Estimate:250|X-Resent:1|X-Org:o");
        assertEquals(
                new ClientRequest.Head(
                        HttpMethod.POST, "/api/7f3a?x=1", "9b1f", "5c0f", 1, -1, 479_000, 250, true, "7f3a", true),
                head);
    }

    /**
     * A client sends a request whose head violates the protocol. The message of the exception is sent to the client, so
     * its text is checked together with the reason.
     */
    @ParameterizedTest
    @CsvSource({
        "GET,X-Lane:page|X-Remaining:4m,X-Txn is missing,MISSING_HEADER",
        "GET,X-Txn:|X-Lane:page|X-Remaining:4m,X-Txn is missing,MISSING_HEADER",
        "GET,X-Txn:t|X-Txn:u|X-Lane:page|X-Remaining:4m,X-Txn is given twice,DUPLICATE_HEADER",
        "GET,X-Txn:t|X-Remaining:4m,X-Lane is missing,MISSING_HEADER",
        "GET,X-Txn:t|X-Lane:none|X-Remaining:4m,X-Lane names no class,UNKNOWN_CLASS",
        "POST,X-Txn:t|X-Lane:page|X-Remaining:4m,the class does not go with the method,METHOD_MISMATCH",
        "POST,X-Txn:t|X-Lane:photo|X-Remaining:4m,Idempotency-Key does not go with the class,IDEMPOTENCY_KEY_MISMATCH",
        "GET,X-Txn:t|X-Lane:page,X-Remaining is missing,MISSING_HEADER",
        "GET,X-Txn:t|X-Lane:page|X-Remaining:4,X-Remaining cannot be read,UNREADABLE_HEADER",
        "GET,X-Txn:t|X-Lane:page|X-Remaining:0x1p3m,X-Remaining cannot be read,UNREADABLE_HEADER",
        "GET,X-Txn:t|X-Lane:page|X-Remaining:..m,X-Remaining cannot be read,UNREADABLE_HEADER",
        "GET,X-Txn:t|X-Lane:page|X-Remaining:4m|X-Estimate:NaN,X-Estimate cannot be read,UNREADABLE_HEADER",
    })
    void invalidHeadIsRejected(String method, String fields, String message, BadRequestException.Reason reason) {
        BadRequestException rejection =
                assertThrows(BadRequestException.class, () -> read(HttpMethod.valueOf(method), fields));
        assertEquals(message, rejection.getMessage());
        assertEquals(reason, rejection.reason());
    }
}
