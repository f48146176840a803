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
 * The HTTP codec towards clients. It rejects a request whose end could be read in two ways.
 *
 * <p>This guards against request smuggling: Netty drops the length where a message has chunks too, while a proxy in
 * front may have gone by the length. The two would then disagree on where the next request begins.
 */
public final class StrictServerCodec extends CombinedChannelDuplexHandler<HttpRequestDecoder, HttpResponseEncoder> {
    /** HTTP wants at least 8,000 bytes of a request's first line to be understood. */
    private static final int MAX_REQUEST_LINE_BYTES = 8 << 10;

    StrictServerCodec() {
        super(new Decoder(), new HttpResponseEncoder());
    }

    /** Whether a part of a message has arrived and its end has not. */
    boolean isAmidMessage() {
        return ((Decoder) inboundHandler()).isAmidMessage();
    }

    private static final class Decoder extends HttpRequestDecoder {
        private boolean amidMessage;

        Decoder() {
            super(new HttpDecoderConfig()
                    .setMaxChunkSize(TransferLimits.MAX_READ_BYTES)
                    .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES));
        }

        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf input, List<Object> decoded) throws Exception {
            int readableBefore = input.readableBytes();
            super.decode(context, input, decoded);
            if (!decoded.isEmpty()) {
                amidMessage = !(decoded.get(decoded.size() - 1) instanceof LastHttpContent);
            } else {
                amidMessage |= input.readableBytes() < readableBefore;
            }
        }

        boolean isAmidMessage() {
            return amidMessage || actualReadableBytes() > 0;
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw new IllegalArgumentException("a length and chunks");
        }
    }
}
