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
    void read(WireLineReader reader) throws IOException, WireException {
        int number = readNumber(reader);
        long size = reader.longOrDefault(WireNames.ROSTER_SIZE, 0);
        List<RosterEntry> entries = new ArrayList<>();
        for (long i = 0; i < size; i++) {
            reader.requireNext();
            if (!reader.isNamed(WireNames.ROSTER_SERVER)) {
                throw reader.invalid("a roster line must be server, not " + reader.name());
            }
            entries.add(readEntry(reader));
        }
        rosters.set(number, entries);
    }

    private static RosterEntry readEntry(WireLineReader reader) throws WireException {
        String state = reader.requiredText(WireNames.SERVER_STATE);
        return new RosterEntry(
                reader.requiredText(WireNames.SERVER_ID),
                reader.textOrNull(WireNames.ZONE),
                (int) reader.longOrDefault(WireNames.CELL, 0),
                switch (state) {
                    case WireNames.STATE_READY -> ServerState.READY;
                    case WireNames.STATE_DRAINING -> ServerState.DRAINING;
                    case WireNames.STATE_GONE -> ServerState.GONE;
                    default -> throw reader.invalidField(WireNames.SERVER_STATE, "is unknown: " + state);
                },
                reader.doubleOrDefault(WireNames.CAPACITY, 1),
                reader.longOrDefault(WireNames.STARTED_AT_US, 0));
    }

    /** Returns the servers of the roster that the current line refers to, with the zone indices of the given node. */
    List<ServerEntry> servers(WireLineReader reader, SimulatedNode node) throws WireException {
        List<RosterEntry> roster = rosters.get(readNumber(reader));
        if (roster == null) {
            throw reader.invalidField(WireNames.ROSTER_NUMBER, "names a roster that was never given");
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

    private static int readNumber(WireLineReader reader) throws WireException {
        long number = reader.requiredLong(WireNames.ROSTER_NUMBER);
        if (number < 0 || number >= MAX_ROSTERS) {
            throw reader.invalidField(WireNames.ROSTER_NUMBER, "is not from 0 to " + (MAX_ROSTERS - 1));
        }
        return (int) number;
    }
}
