package loadbalancer.membership.codec;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;
import loadbalancer.membership.codec.BadFrameException.Reason;

/** Header of each frame: magic bytes, version of the format, type, and a CRC32C over version, type and content. */
final class FrameHeader {
    static final int LENGTH = 8;
    static final byte VERSION = 1;

    private static final byte[] MAGIC = {'K', 'M'};
    private static final int VERSION_OFFSET = 2;
    private static final int TYPE_OFFSET = 3;
    private static final int CHECKSUM_OFFSET = 4;

    private FrameHeader() {}

    /** Writes the header into a frame that already contains its content. */
    static void write(byte[] frame, FrameType type) {
        ByteBuffer.wrap(frame).put(MAGIC).put(VERSION).put(type.number()).putInt(checksum(frame));
    }

    /** Checks the magic bytes, the checksum and the version of a frame, and returns its type. */
    static FrameType verify(byte[] frame) throws BadFrameException {
        if (frame.length < LENGTH || frame[0] != MAGIC[0] || frame[1] != MAGIC[1]) {
            throw new BadFrameException(Reason.BAD_MAGIC, "magic");
        }
        // Checked before the version, so that a damaged frame is not rejected as one of a newer version.
        if (ByteBuffer.wrap(frame).getInt(CHECKSUM_OFFSET) != checksum(frame)) {
            throw new BadFrameException(Reason.CHECKSUM_MISMATCH, "checksum");
        }
        if (frame[VERSION_OFFSET] != VERSION) {
            throw new BadFrameException(Reason.UNSUPPORTED_VERSION, "version");
        }
        FrameType type = FrameType.ofNumber(frame[TYPE_OFFSET]);
        if (type == null) {
            throw new BadFrameException(Reason.UNSUPPORTED_VERSION, "type");
        }
        return type;
    }

    private static int checksum(byte[] frame) {
        CRC32C checksum = new CRC32C();
        checksum.update(frame, VERSION_OFFSET, CHECKSUM_OFFSET - VERSION_OFFSET);
        checksum.update(frame, LENGTH, frame.length - LENGTH);
        return (int) checksum.getValue();
    }
}
