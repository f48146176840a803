package loadbalancer.client;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;
import loadbalancer.transfer.TransferLimits;

/**
 * HTTP as a node speaks it to clients. A request whose end could be read in two ways is none: Netty drops the
 * length where there are chunks too, and another on the way may have gone by it.
 */
public final class StrictServerCodec extends CombinedChannelDuplexHandler<HttpRequestDecoder, HttpResponseEncoder> {
    /** HTTP wants at least 8,000 bytes of a request's first line to be understood. */
    private static final int MOST_LINE = 8 << 10;

    StrictServerCodec() {
        super(new Decoder(), new HttpResponseEncoder());
    }

    /** Whether a part of a message has come and its end has not. */
    boolean isAmidMessage() {
        return ((Decoder) inboundHandler()).isAmidMessage();
    }

    private static final class Decoder extends HttpRequestDecoder {
        private boolean begun;

        Decoder() {
            super(new HttpDecoderConfig()
                    .setMaxChunkSize(TransferLimits.MAX_READ_BYTES)
                    .setMaxInitialLineLength(MOST_LINE));
        }

        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
            int before = in.readableBytes();
            super.decode(context, in, out);
            if (!out.isEmpty()) {
                begun = !(out.get(out.size() - 1) instanceof LastHttpContent);
            } else {
                begun |= in.readableBytes() < before;
            }
        }

        boolean isAmidMessage() {
            return begun || actualReadableBytes() > 0;
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw new IllegalArgumentException("a length and chunks");
        }
    }
}
