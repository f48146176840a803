/**
 * The bytes of membership: frames, of which each is one datagram or, behind its length, one message of a connection.
 *
 * <p>Owns the frame format ({@link FrameHeader}, {@link FrameType}) and one serializer for each content. The words and
 * numbers on the wire stay while names in the code change: two versions run side by side.
 *
 * <p>Must not know sockets, threads or the protocol's decisions: it turns values of the core into bytes and back. What
 * it cannot read is a {@link BadFrameException}, never another exception.
 */
package loadbalancer.membership.codec;
