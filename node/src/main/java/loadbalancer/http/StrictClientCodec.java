package loadbalancer.http;

import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import loadbalancer.transfer.TransferLimits;

/**
 * The HTTP codec towards servers and discovery. It holds responses to the rules that Netty keeps for requests only.
 *
 * <p>It doesn't know HEAD and CONNECT, whose responses are framed in another way; a node sends neither.
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
         * Guards against a broken head that passes for a sound one: in a response Netty also ends a name at a blank,
         * and then takes a line without any colon for a field without a value. Such a line fails to decode here.
         */
        @Override
        protected AsciiString splitHeaderName(byte[] line, int start, int length) {
            if (line[start + length] != ':') {
                throw new IllegalArgumentException("field line without a colon behind its name");
            }
            return super.splitHeaderName(line, start, length);
        }
    }
}
