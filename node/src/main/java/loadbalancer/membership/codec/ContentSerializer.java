package loadbalancer.membership.codec;

import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.IOException;

/**
 * Writes and reads the content of one type of frame, after the fleet's name. Without state, so that threads may share
 * it.
 */
interface ContentSerializer<T> {
    FrameType type();

    void write(CBORGenerator out, T content) throws IOException;

    /** Throws BadFrameException where the bytes are not such a content. */
    T read(FrameReader in) throws IOException, BadFrameException;
}
