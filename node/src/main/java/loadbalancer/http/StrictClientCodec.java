package loadbalancer.http;

import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import loadbalancer.transfer.TransferLimits;

/**
 * HTTP as a node speaks it to servers and discovery: answers are held to the rules that Netty keeps for
 * requests only. It knows no HEAD and no CONNECT, whose answers are framed in another way; none is sent.
 */
public final class StrictClientCodec extends CombinedChannelDuplexHandler<HttpResponseDecoder, HttpRequestEncoder> {
    public StrictClientCodec() {
        super(new Decoder(), new HttpRequestEncoder());
    }

    private static final class Decoder extends HttpResponseDecoder {
        Decoder() {
            super(new HttpDecoderConfig().setMaxChunkSize(TransferLimits.MAX_READ_BYTES));
        }

        /**
         * In an answer Netty ends a name at a blank too and then takes a line without any colon for a field
         * with no value: a broken head would pass for a whole one.
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
