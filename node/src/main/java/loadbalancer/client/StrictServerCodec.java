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
import java.util.function.BooleanSupplier;
import loadbalancer.transfer.TransferLimits;

/**
 * The HTTP codec for client connections. It rejects requests with both Content-Length and chunked transfer coding.
 *
 * <p>This prevents request smuggling: Netty ignores the Content-Length of a chunked message, whereas a proxy in front
 * of the node may have used it. The two would then disagree on where the next request starts.
 */
public final class StrictServerCodec extends CombinedChannelDuplexHandler<HttpRequestDecoder, HttpResponseEncoder> {
    /** RFC 9112 recommends support for request lines of at least 8,000 bytes. */
    private static final int MAX_REQUEST_LINE_BYTES = 8 << 10;

    private static final RequestHeadersFactory HEADERS = new RequestHeadersFactory();

    /** @param paused returns whether to decode nothing for now; the input is kept until it is decoded */
    StrictServerCodec(BooleanSupplier paused) {
        super(new Decoder(paused), new HttpResponseEncoder());
    }

    /** Returns whether a part of a message has arrived but not its end. */
    boolean isMessageInProgress() {
        return ((Decoder) inboundHandler()).isMessageInProgress();
    }

    private static final class Decoder extends HttpRequestDecoder {
        private final BooleanSupplier paused;
        private boolean messageInProgress;

        Decoder(BooleanSupplier paused) {
            super(new HttpDecoderConfig()
                    .setHeadersFactory(HEADERS)
                    .setTrailersFactory(HEADERS)
                    .setMaxChunkSize(TransferLimits.MAX_READ_BYTES)
                    .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES));
            this.paused = paused;
        }

        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf input, List<Object> decoded) throws Exception {
            if (paused.getAsBoolean()) {
                return;
            }
            int readableBefore = input.readableBytes();
            super.decode(context, input, decoded);
            if (!decoded.isEmpty()) {
                messageInProgress = !(decoded.get(decoded.size() - 1) instanceof LastHttpContent);
            } else {
                messageInProgress |= input.readableBytes() < readableBefore;
            }
        }

        boolean isMessageInProgress() {
            return messageInProgress || actualReadableBytes() > 0;
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw new IllegalArgumentException("request has both Content-Length and Transfer-Encoding: chunked");
        }
    }
}
