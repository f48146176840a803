package loadbalancer.membership.core;

import java.util.List;

/** This process as a member: which life it says it is in, and who else says that he has its name. */
final class LocalMember {
    /** Somebody with this process's name, who is asked whether he lives. */
    private record Rival(Member member, long number, long untilUs) {}

    /** Whom it asks and tells. */
    interface Outside {
        /** A number that no other question has. */
        long number();

        void send(String address, Message message);

        /** Others had no word of this process in time. */
        void wasSuspected();

        /** It says something new of itself. */
        void announced(Member self);

        /** Another has its name, and keeps it. */
        void gaveWay(Member to);

        /** Another has its name, and is to give way. */
        void tookOver(Member from);
    }

    private final MembershipSettings set;
    private final Outside outside;
    private Member self;
    private Rival rival;
    private String takenOverFrom;

    LocalMember(MembershipSettings set, long birthUs, Outside outside) {
        this.set = set;
        this.outside = outside;
        self = new Member(
                set.name(), set.address(), set.zone(), set.role(), new Incarnation(birthUs, 0), MemberState.ALIVE);
    }

    Member self() {
        return self;
    }

    void left() {
        self = self.in(MemberState.LEFT);
    }

    /** Until when whoever has its name may answer. */
    long nextUs() {
        return rival == null ? Long.MAX_VALUE : rival.untilUs;
    }

    void onTime(long nowUs) {
        if (rival != null && rival.untilUs <= nowUs) {
            // Nobody there: it was an earlier life of this process, by a clock that was ahead.
            raiseAbove(rival.member.incarnation());
            rival = null;
        }
    }

    /** Whether this is the answer of somebody who has its name; then this process gives way. */
    boolean isRivalsAnswer(Message.Ack ack) {
        boolean his = rival != null
                && ack.number() == rival.number
                && ack.from().address().equals(rival.member.address())
                && ack.from().name().equals(self.name());
        if (his) {
            outside.gaveWay(ack.from());
        }
        return his;
    }

    /** Somebody says this of its name. */
    void heard(long nowUs, Member told) {
        if (told.address().equals(self.address())) {
            if (told.incarnation().birth() > self.incarnation().birth()) {
                // An earlier life at this address, by a clock that was ahead of this one's.
                raiseAbove(told.incarnation());
            } else if (told.state() != MemberState.ALIVE && told.incarnation().compareTo(self.incarnation()) >= 0) {
                outside.wasSuspected();
                announce(told.incarnation().refuted());
            }
        } else if (self.in(MemberState.ALIVE).overrides(told.in(MemberState.ALIVE))) {
            // This process began later, and keeps the name. Whoever has it elsewhere is told so, once.
            if (told.state().isLive() && !told.address().equals(takenOverFrom)) {
                takenOverFrom = told.address();
                outside.tookOver(told);
                ask(told, outside.number());
            }
        } else if (!told.state().isLive()) {
            raiseAbove(told.incarnation());
        } else if (rival == null) {
            // Another process that began later, or an earlier life of this one elsewhere: only asking tells.
            rival = new Rival(told, outside.number(), nowUs + set.suspicionPeriods() * set.probePeriodUs());
            ask(told, rival.number);
        }
    }

    private void ask(Member who, long number) {
        outside.send(who.address(), new Message.Ping(number, who.name(), self, List.of()));
    }

    private void raiseAbove(Incarnation other) {
        announce(new Incarnation(other.birth() + 1, 0));
    }

    private void announce(Incarnation next) {
        self = self.with(next, MemberState.ALIVE);
        outside.announced(self);
    }
}
