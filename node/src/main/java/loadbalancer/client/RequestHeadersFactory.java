package loadbalancer.client;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import java.util.Set;
import java.util.TreeSet;
import loadbalancer.http.ProtocolHeaders;

/**
 * Creates the header fields of clients' requests, which keep only the fields that the node uses. All others are checked
 * and dropped, as no server gets them. A head of a few kilobytes may hold more than a thousand short fields, which
 * would take a hundred times its size.
 */
final class RequestHeadersFactory implements HttpHeadersFactory {
    private static final Set<String> USED = usedNames();

    private static Set<String> usedNames() {
        Set<String> names = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);
        names.add(HttpHeaderNames.CONNECTION.toString());
        names.add(HttpHeaderNames.CONTENT_LENGTH.toString());
        names.add(HttpHeaderNames.EXPECT.toString());
        names.add(HttpHeaderNames.TRANSFER_ENCODING.toString());
        names.addAll(ProtocolHeaders.OF_REQUESTS);
        return names;
    }

    @Override
    public HttpHeaders newHeaders() {
        return new UsedHeaders();
    }

    @Override
    public HttpHeaders newEmptyHeaders() {
        return new UsedHeaders();
    }

    /** Header fields that ignore the fields that are not used, except that they must be valid. */
    private static final class UsedHeaders extends DefaultHttpHeaders {
        private static final DefaultHttpHeadersFactory VALIDATION = DefaultHttpHeadersFactory.headersFactory();

        UsedHeaders() {
            super(VALIDATION.getNameValidator(), VALIDATION.getValueValidator());
        }

        @Override
        public HttpHeaders add(CharSequence name, Object value) {
            if (USED.contains(name.toString())) {
                return super.add(name, value);
            }
            VALIDATION.getNameValidator().validateName(name);
            VALIDATION.getValueValidator().validate((CharSequence) value);
            return this;
        }
    }
}
