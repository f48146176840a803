package loadbalancer.client;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToIntFunction;
import loadbalancer.http.TransferCodings;

/**
 * Pipelined requests that are read and dropped, and are each owed a rejection in their turn. Only counts are kept, so
 * that a client may send any number of them. As all get the same response, their order does not matter.
 */
final class RejectedRequests implements PipelinedMessages.Entry {
    /** The class of a request whose head is not valid. */
    static final int NO_CLASS = -1;

    /**
     * A request that is to be rejected now.
     *
     * @param classIndex its class, or {@link #NO_CLASS}
     * @param received whether its end has been read; if not, the rest follows on the connection
     * @param keepAlive whether more requests may follow on the connection
     */
    record Rejection(int classIndex, boolean received, boolean keepAlive) {}

    private final ToIntFunction<HttpRequest> classifier;
    private final Map<Integer, Integer> countByClass = new TreeMap<>();
    private int count;
    /** Whether the end of the last request has not been read. */
    private boolean receiving;

    /** Whether nothing may follow the last request on the connection. */
    private boolean last;

    /** @param classifier returns the class of a request, or {@link #NO_CLASS} */
    RejectedRequests(ToIntFunction<HttpRequest> classifier) {
        this.classifier = classifier;
    }

    boolean isEmpty() {
        return count == 0;
    }

    /** Counts the part of a message if it starts a request, and drops it. The caller releases it. */
    void add(HttpObject part) {
        if (last) {
            return;
        }
        if (part instanceof HttpRequest request) {
            start(request);
        }
        if (part.decoderResult().isFailure()) {
            // The start of the next request is unknown.
            last = true;
            receiving = false;
        } else if (part instanceof HttpContent content) {
            receiving = receiving && !(content instanceof LastHttpContent);
        }
    }

    private void start(HttpRequest request) {
        countByClass.merge(classifier.applyAsInt(request), 1, Integer::sum);
        count++;
        last = !HttpUtil.isKeepAlive(request) || !isEndUnambiguous(request);
        // What follows the last request is not needed.
        receiving = !last;
    }

    private static boolean isEndUnambiguous(HttpRequest request) {
        return TransferCodings.hasOnlyChunkedCoding(request)
                && !request.headers().contains(HttpHeaderNames.EXPECT);
    }

    /** Removes a request, which there must be. */
    Rejection poll() {
        int classIndex = countByClass.keySet().iterator().next();
        countByClass.computeIfPresent(classIndex, (index, requests) -> requests == 1 ? null : requests - 1);
        count--;
        return new Rejection(classIndex, count > 0 || !receiving, count > 0 || !last);
    }
}
