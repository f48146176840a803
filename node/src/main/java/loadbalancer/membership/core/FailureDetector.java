package loadbalancer.membership.core;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Asks one member after the other whether it is there, in an order that gives each its turn, and doubts
 * itself before others: the fewer answers and promised words come back, the more time it gives.
 */
final class FailureDetector {
    /** Requests of others that are under way; beyond it the oldest is forgotten, as if no answer had come. */
    private static final int MOST_RELAYS = 1_000;

    /** Whom it asks and tells. */
    interface Outside {
        Member self();

        /** A member that is live by name, or null. */
        Member live(String name);

        /** Names of all live members but this one, in any order that hangs on nothing but events. */
        List<String> liveNames();

        void send(String address, Message message);

        /** An answer took so long. */
        void roundTrip(long us);

        /** This one has not answered. */
        void silent(String name);
    }

    private record Relay(String address, long number, long untilUs) {}

    private final MembershipSettings set;
    private final SplittableRandom random;
    private final Outside outside;
    private final List<String> turns = new ArrayList<>();
    private int turn;
    private long lastNumber;
    private final Map<Long, Relay> relays = new LinkedHashMap<>();
    /** How much it doubts itself, from 0. */
    private int health;

    private String asked;
    private long askedNumber;
    private long askedAtUs;
    private boolean answered;
    private boolean passedOn;
    private int wordsDue;
    private long passOnAtUs = Long.MAX_VALUE;
    private long endsAtUs = Long.MAX_VALUE;

    FailureDetector(MembershipSettings set, SplittableRandom random, Outside outside) {
        this.set = set;
        this.random = random;
        this.outside = outside;
    }

    /** Periods begin. */
    void start(long nowUs) {
        // Members that start together must not ask together.
        endsAtUs = nowUs + random.nextLong(set.probePeriodUs());
    }

    void stop() {
        endsAtUs = Long.MAX_VALUE;
        passOnAtUs = Long.MAX_VALUE;
        relays.clear();
    }

    int health() {
        return health;
    }

    private void doubt(int more) {
        health = Math.max(0, Math.min(set.maxLocalHealth(), health + more));
    }

    /** This process stood still: answers may have come meanwhile, and wait to be read. */
    void stoodStill() {
        doubt(1);
        asked = null;
    }

    /** It was suspected and has contradicted: others had no word of it in time. */
    void wasSuspected() {
        doubt(1);
    }

    /** A place among the turns, by chance, so that those who joined together are not asked together. */
    void joined(String name) {
        turns.add(random.nextInt(turns.size() + 1), name);
    }

    /** A number that no other question of this member has. */
    long number() {
        return ++lastNumber;
    }

    long nextUs() {
        long next = Math.min(passOnAtUs, endsAtUs);
        return relays.isEmpty()
                ? next
                : Math.min(next, relays.values().iterator().next().untilUs);
    }

    // ---------------------------------------------------------------- time

    void onTime(long nowUs) {
        while (!relays.isEmpty() && relays.values().iterator().next().untilUs <= nowUs) {
            long number = relays.keySet().iterator().next();
            Relay over = relays.remove(number);
            outside.send(over.address, new Message.Nack(over.number, outside.self(), List.of()));
        }
        if (nowUs >= passOnAtUs) {
            passOnAtUs = Long.MAX_VALUE;
            passOn();
        }
        if (nowUs >= endsAtUs) {
            conclude();
            begin(nowUs);
        }
    }

    private void conclude() {
        if (asked == null) {
            return;
        }
        if (answered) {
            doubt(-1);
        } else {
            // Words that were promised and did not come speak against this member, not against the one asked.
            doubt(passedOn ? wordsDue : 1);
            if (outside.live(asked) != null) {
                outside.silent(asked);
            }
        }
        asked = null;
    }

    private void begin(long nowUs) {
        long stretched = set.probePeriodUs() * (1 + health);
        endsAtUs = nowUs + stretched;
        Member next = next();
        if (next == null) {
            return;
        }
        asked = next.name();
        askedNumber = number();
        askedAtUs = nowUs;
        answered = false;
        passedOn = false;
        wordsDue = 0;
        passOnAtUs = nowUs + set.probeTimeoutUs() * (1 + health);
        outside.send(next.address(), new Message.Ping(askedNumber, next.name(), outside.self(), List.of()));
    }

    /**
     * Round robin over an order that is drawn anew for each round: nobody waits for longer than two rounds.
     */
    private Member next() {
        for (int tried = turns.size(); tried > 0; tried--) {
            if (turn >= turns.size()) {
                turn = 0;
                turns.removeIf(name -> outside.live(name) == null);
                for (int i = turns.size() - 1; i > 0; i--) {
                    int j = random.nextInt(i + 1);
                    String moved = turns.get(i);
                    turns.set(i, turns.get(j));
                    turns.set(j, moved);
                }
                if (turns.isEmpty()) {
                    return null;
                }
            }
            Member member = outside.live(turns.get(turn++));
            if (member != null) {
                return member;
            }
        }
        return null;
    }

    private void passOn() {
        Member target = asked == null || answered ? null : outside.live(asked);
        if (target == null) {
            return;
        }
        List<String> others = new ArrayList<>(outside.liveNames());
        others.remove(asked);
        for (int i = 0; i < set.indirectProbes() && !others.isEmpty(); i++) {
            Member by = outside.live(others.remove(random.nextInt(others.size())));
            outside.send(
                    by.address(),
                    new Message.PingRequest(askedNumber, target.name(), target.address(), outside.self(), List.of()));
            passedOn = true;
            wordsDue++;
        }
    }

    // ---------------------------------------------------------------- messages

    void onAck(long nowUs, Message.Ack ack) {
        if (ack.number() == askedNumber && asked != null) {
            if (!answered && !passedOn) {
                outside.roundTrip(nowUs - askedAtUs);
            }
            answered = true;
            return;
        }
        Relay relay = relays.remove(ack.number());
        if (relay != null) {
            outside.send(relay.address, new Message.Ack(relay.number, ack.from(), List.of()));
        }
    }

    void onNack(Message.Nack nack) {
        if (nack.number() == askedNumber && asked != null) {
            wordsDue = Math.max(0, wordsDue - 1);
        }
    }

    void onRequest(long nowUs, Message.PingRequest request) {
        if (relays.size() >= MOST_RELAYS) {
            relays.remove(relays.keySet().iterator().next());
        }
        long number = number();
        // The word that there was no answer has to be back before the asker's period is over.
        relays.put(
                number,
                new Relay(
                        request.from().address(),
                        request.number(),
                        nowUs + Math.min(set.probeTimeoutUs(), (set.probePeriodUs() - set.probeTimeoutUs()) / 2)));
        outside.send(request.address(), new Message.Ping(number, request.to(), outside.self(), List.of()));
    }
}
