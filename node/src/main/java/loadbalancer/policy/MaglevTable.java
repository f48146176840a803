package loadbalancer.policy;

import java.math.BigInteger;
import java.util.Arrays;
import java.util.Comparator;

/**
 * Builds lookup tables as in Maglev hashing: servers take turns to claim entries. Each server has about equally many
 * entries, every node builds the same table from the same list, and a change of the list moves few entries.
 *
 * <p>The length is a prime, so that a server's permutation reaches every entry. A table may be divided into rows; no
 * server has two entries in one row. Stateless.
 */
final class MaglevTable {

    private MaglevTable() {}

    /**
     * Builds a table of at least {@code minEntries} entries in rows of {@code rowLength}. An entry that no server can
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

    /** The order in which one server visits the entries of the table: from an offset, in steps of constant length. */
    private static final class Claimant {
        private final ServerRecord server;
        private final int step;
        private int place;
        private int visited;
        /**
         * The rows in which the server has entries. Stored because searching the row in the table would cost time
         * proportional to its length.
         */
        private int[] rows = new int[0];

        Claimant(ServerRecord server, int places) {
            this.server = server;
            place = (int) Math.floorMod(server.hash, (long) places);
            step = 1 + (int) Math.floorMod(server.hash >> 32, places - 1L);
        }

        /**
         * Claims the next free entry in a row where this server has none; returns false if all entries have been
         * visited.
         */
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
