package loadbalancer.membership.codec;

import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.IOException;
import loadbalancer.membership.core.Incarnation;
import loadbalancer.membership.core.Member;
import loadbalancer.membership.core.MemberState;

/** Serializes a member within a frame: name, address, zone, role, generation, refutations, number of the state. */
final class MemberSerializer {
    private static final MemberState[] STATES = MemberState.values();

    private MemberSerializer() {}

    static void write(CBORGenerator out, Member member) throws IOException {
        out.writeString(member.name());
        out.writeString(member.address());
        out.writeString(member.zone());
        out.writeString(member.role());
        out.writeNumber(member.incarnation().generation());
        out.writeNumber(member.incarnation().refutations());
        out.writeNumber(member.state().ordinal());
    }

    static Member read(FrameReader in) throws IOException, BadFrameException {
        return readAfterName(in, in.name("member.name"));
    }

    /** Reads the rest of a member. Its name has been read already, to detect that another element follows. */
    static Member readAfterName(FrameReader in, String name) throws IOException, BadFrameException {
        String address = in.name("member.address");
        String zone = in.name("member.zone");
        String role = in.name("member.role");
        long generation = in.number("member.generation");
        long refutations = in.number("member.refutations");
        long state = in.number("member.state");
        FrameReader.require(state < STATES.length, "member.state");
        return new Member(name, address, zone, role, new Incarnation(generation, refutations), STATES[(int) state]);
    }
}
