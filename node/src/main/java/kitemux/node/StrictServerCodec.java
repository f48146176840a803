package kitemux.node;

import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;

/**
 * HTTP as a node speaks it to clients. A request whose end could be read in two ways is none: Netty drops the
 * length where there are chunks too, and another on the way may have gone by it.
 */
final class StrictServerCodec extends CombinedChannelDuplexHandler<HttpRequestDecoder, HttpResponseEncoder> {
    /** HTTP wants at least 8,000 bytes of a request's first line to be understood. */
    private static final int MOST_LINE = 8 << 10;

    StrictServerCodec() {
        super(new Decoder(), new HttpResponseEncoder());
    }

    /** Whether a body in chunks is coded in that one way only, which is all that a node can pass on. */
    static boolean isPlain(HttpMessage message) {
        return message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING).stream()
                .allMatch(HttpHeaderValues.CHUNKED::contentEqualsIgnoreCase);
    }

    private static final class Decoder extends HttpRequestDecoder {
        Decoder() {
            super(new HttpDecoderConfig().setMaxChunkSize(Flow.MOST_PART).setMaxInitialLineLength(MOST_LINE));
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw new IllegalArgumentException("a length and chunks");
        }
    }
}
