package loadbalancer.http;

import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import loadbalancer.transfer.TransferLimits;

/**
 * The HTTP codec for connections to servers and discovery. It applies to responses a check of header lines that Netty
 * applies only to requests.
 *
 * <p>Does not support HEAD and CONNECT, whose responses are framed differently; a node sends neither.
 */
public final class StrictClientCodec extends CombinedChannelDuplexHandler<HttpResponseDecoder, HttpRequestEncoder> {
    /** Creates a codec for one connection. */
    public StrictClientCodec() {
        super(new Decoder(), new HttpRequestEncoder());
    }

    private static final class Decoder extends HttpResponseDecoder {
        Decoder() {
            super(new HttpDecoderConfig().setMaxChunkSize(TransferLimits.MAX_READ_BYTES));
        }

        /**
         * Rejects a header line whose name is not directly followed by a colon. In a response, Netty also ends a name
         * at whitespace and accepts a line without any colon as a field without a value, so that a malformed head would
         * pass as valid.
         */
        @Override
        protected AsciiString splitHeaderName(byte[] line, int start, int length) {
            if (line[start + length] != ':') {
                throw new IllegalArgumentException("header line without a colon directly after the field name");
            }
            return super.splitHeaderName(line, start, length);
        }
    }
}
