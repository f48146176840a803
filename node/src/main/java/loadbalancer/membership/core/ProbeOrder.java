package loadbalancer.membership.core;

import java.util.ArrayList;
import java.util.List;

/**
 * Which member is probed next: round robin over an order that is shuffled for each round, so that the time until a
 * member is probed has a bound of two rounds.
 */
final class ProbeOrder {
    private final ProtocolRandom random;
    private final MemberTable table;
    private final List<String> names = new ArrayList<>();
    private int position;

    ProbeOrder(ProtocolRandom random, MemberTable table) {
        this.random = random;
        this.table = table;
    }

    /** At a random place, so that members that joined together are not probed together by all. */
    void add(String name) {
        random.insert(names, name);
    }

    /** The next live member, or null where there is none. */
    Member next() {
        for (int attempts = names.size(); attempts > 0; attempts--) {
            if (position >= names.size()) {
                startRound();
                if (names.isEmpty()) {
                    return null;
                }
            }
            Member member = table.live(names.get(position++));
            if (member != null) {
                return member;
            }
        }
        return null;
    }

    private void startRound() {
        position = 0;
        names.removeIf(name -> table.live(name) == null);
        random.shuffle(names);
    }
}
