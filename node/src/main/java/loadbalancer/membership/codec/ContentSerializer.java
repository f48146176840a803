package loadbalancer.membership.codec;

import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.IOException;

/**
 * Writes and reads the content of one type of frame, which follows the name of the fleet. Implementations are stateless
 * and thread-safe.
 */
interface ContentSerializer<T> {
    FrameType type();

    void write(CBORGenerator out, T content) throws IOException;

    /** Reads the content. Throws BadFrameException if the bytes are not valid content of this type. */
    T read(FrameReader in) throws IOException, BadFrameException;
}
