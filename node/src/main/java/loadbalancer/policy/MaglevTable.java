package loadbalancer.policy;

import java.math.BigInteger;
import java.util.Arrays;
import java.util.Comparator;

/**
 * Builds tables of places that servers claim in turn, as in Maglev hashing: each server has about equally many places,
 * every node builds the same table from the same list, and a change of the list moves few places.
 *
 * <p>The number of places is a prime, so that a server's steps through the table reach every place. A table may be cut
 * into rows; no server then has two places in one row. Stateless.
 */
final class MaglevTable {

    private MaglevTable() {}

    /**
     * Builds a table of at least {@code minPlaces} places in rows of {@code rowLength}. A place that no server can
     * claim is null.
     */
    static ServerRecord[] build(ServerRecord[] servers, int minPlaces, int rowLength) {
        ServerRecord[] table = new ServerRecord[nextPrime(minPlaces)];
        ServerRecord[] inTurn = servers.clone();
        Arrays.sort(inTurn, Comparator.comparingLong(server -> server.hash));
        Claimant[] claimants = Arrays.stream(inTurn)
                .map(server -> new Claimant(server, table.length))
                .toArray(Claimant[]::new);
        int unclaimed = table.length;
        int failuresInTurn = 0;
        for (int i = 0; unclaimed > 0 && failuresInTurn < claimants.length; i = (i + 1) % claimants.length) {
            if (claimants[i].claim(table, rowLength)) {
                unclaimed--;
                failuresInTurn = 0;
            } else {
                failuresInTurn++;
            }
        }
        return table;
    }

    private static int nextPrime(int from) {
        return BigInteger.valueOf(from - 1L).nextProbablePrime().intValueExact();
    }

    /** A server on its walk through the table, in an order of its own. */
    private static final class Claimant {
        private final ServerRecord server;
        private final int step;
        private int place;
        private int visited;
        /** The rows that it has places in. Kept here: a search of the row in the table would cost the row's length. */
        private int[] rows = new int[0];

        Claimant(ServerRecord server, int places) {
            this.server = server;
            place = (int) Math.floorMod(server.hash, (long) places);
            step = 1 + (int) Math.floorMod(server.hash >> 32, places - 1L);
        }

        /** Claims the next free place in a row where this server has none; false if the walk is at its end. */
        boolean claim(ServerRecord[] table, int rowLength) {
            while (visited < table.length && (table[place] != null || hasRow(place / rowLength))) {
                place = (place + step) % table.length;
                visited++;
            }
            if (visited == table.length) {
                return false;
            }
            table[place] = server;
            rows = Arrays.copyOf(rows, rows.length + 1);
            rows[rows.length - 1] = place / rowLength;
            return true;
        }

        private boolean hasRow(int row) {
            for (int each : rows) {
                if (each == row) {
                    return true;
                }
            }
            return false;
        }
    }
}
