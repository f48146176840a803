package loadbalancer.simulator;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.policy.ServerEntry;
import loadbalancer.policy.ServerState;

/**
 * The rosters received from the simulator: numbered lists of servers, to which notifications of the endpoint list
 * refer. All nodes of a connection share them. A roster with a known number replaces the earlier one.
 */
final class Rosters {
    private static final int MAX_ROSTERS = 16;

    /** A server in a roster. The zone is a name, as each node has its own zone indices; null if the line has none. */
    private record RosterEntry(
            String serverId, String zone, int cell, ServerState state, double capacity, long startedAtUs) {}

    private final List<List<RosterEntry>> rosters = new ArrayList<>();

    Rosters() {
        for (int i = 0; i < MAX_ROSTERS; i++) {
            rosters.add(null);
        }
    }

    /** Reads the roster that starts on the current line, and moves to its last line. */
    void read(WireLineReader line) throws IOException, WireException {
        int number = readNumber(line);
        long size = line.longOrDefault(WireNames.ROSTER_SIZE, 0);
        List<RosterEntry> entries = new ArrayList<>();
        for (long i = 0; i < size; i++) {
            line.requireNext();
            if (!line.isNamed(WireNames.ROSTER_SERVER)) {
                throw line.invalid("a roster line must be server, not " + line.name());
            }
            entries.add(readEntry(line));
        }
        rosters.set(number, entries);
    }

    private static RosterEntry readEntry(WireLineReader line) throws WireException {
        String state = line.requiredText(WireNames.SERVER_STATE);
        return new RosterEntry(
                line.requiredText(WireNames.SERVER_ID),
                line.textOrNull(WireNames.ZONE),
                (int) line.longOrDefault(WireNames.CELL, 0),
                switch (state) {
                    case WireNames.STATE_READY -> ServerState.READY;
                    case WireNames.STATE_DRAINING -> ServerState.DRAINING;
                    case WireNames.STATE_GONE -> ServerState.GONE;
                    default -> throw line.invalidField(WireNames.SERVER_STATE, "is unknown: " + state);
                },
                line.doubleOrDefault(WireNames.CAPACITY, 1),
                line.longOrDefault(WireNames.STARTED_AT_US, 0));
    }

    /** Returns the servers of the roster that the current line refers to, with the zone indices of the given node. */
    List<ServerEntry> servers(WireLineReader line, SimulatedNode node) throws WireException {
        List<RosterEntry> roster = rosters.get(readNumber(line));
        if (roster == null) {
            throw line.invalidField(WireNames.ROSTER_NUMBER, "names a roster that was never given");
        }
        List<ServerEntry> servers = new ArrayList<>(roster.size());
        for (RosterEntry entry : roster) {
            servers.add(new ServerEntry(
                    entry.serverId,
                    node.zoneIndex(entry.zone),
                    entry.cell,
                    entry.state,
                    entry.capacity,
                    entry.startedAtUs));
        }
        return servers;
    }

    private static int readNumber(WireLineReader line) throws WireException {
        long number = line.requiredLong(WireNames.ROSTER_NUMBER);
        if (number < 0 || number >= MAX_ROSTERS) {
            throw line.invalidField(WireNames.ROSTER_NUMBER, "is not from 0 to " + (MAX_ROSTERS - 1));
        }
        return (int) number;
    }
}
