/**
 * Wire format of membership: each frame is one datagram or, with a length prefix, one message on a connection.
 *
 * <p>Owns the frame format ({@link FrameHeader}, {@link FrameType}) and one serializer for each type of content. Texts
 * and numbers on the wire must not change when identifiers in the code do, because two versions run side by side.
 *
 * <p>Must not depend on sockets, threads or decisions of the protocol: it encodes values of the core and decodes them.
 * Bytes that it cannot decode cause a {@link BadFrameException} and no other exception.
 */
package loadbalancer.membership.codec;
