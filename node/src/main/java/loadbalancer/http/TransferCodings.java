package loadbalancer.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;

/** The rule for transfer codings of messages from either side. */
public final class TransferCodings {
    private TransferCodings() {}

    /** Whether a message uses no transfer coding but {@code chunked}, which is all that a node can pass on. */
    public static boolean hasOnlyChunkedCoding(HttpMessage message) {
        return message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING).stream()
                .allMatch(HttpHeaderValues.CHUNKED::contentEqualsIgnoreCase);
    }
}
