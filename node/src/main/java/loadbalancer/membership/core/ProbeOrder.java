package loadbalancer.membership.core;

import java.util.ArrayList;
import java.util.List;

/**
 * Selects the next member to probe: round robin in an order that is shuffled for each round, so that each member is
 * probed within two rounds.
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

    /** Inserts the name at a random position, so that members that join together are not probed together by all. */
    void add(String name) {
        random.insert(names, name);
    }

    /** Returns the next live member, or null if there is none. */
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
