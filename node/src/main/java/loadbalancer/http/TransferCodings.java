package loadbalancer.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;

/** Checks the transfer codings of messages from clients and servers. */
public final class TransferCodings {
    private TransferCodings() {}

    /** Returns whether a message has no transfer coding other than {@code chunked}, the only one a node can forward. */
    public static boolean hasOnlyChunkedCoding(HttpMessage message) {
        return message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING).stream()
                .allMatch(HttpHeaderValues.CHUNKED::contentEqualsIgnoreCase);
    }
}
