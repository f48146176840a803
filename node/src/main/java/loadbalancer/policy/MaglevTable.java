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
    static ServerRecord[] build(ServerRecord[] servers, int minEntries, int rowLength) {
        ServerRecord[] table = new ServerRecord[nextPrime(minEntries)];
        ServerRecord[] sorted = servers.clone();
        Arrays.sort(sorted, Comparator.comparingLong(server -> server.hash));
        Permutation[] permutations = Arrays.stream(sorted)
                .map(server -> new Permutation(server, table.length))
                .toArray(Permutation[]::new);
        int unclaimed = table.length;
        int failuresInARow = 0;
        for (int i = 0; unclaimed > 0 && failuresInARow < permutations.length; i = (i + 1) % permutations.length) {
            if (permutations[i].claim(table, rowLength)) {
                unclaimed--;
                failuresInARow = 0;
            } else {
                failuresInARow++;
            }
        }
        return table;
    }

    private static int nextPrime(int min) {
        return BigInteger.valueOf(min - 1L).nextProbablePrime().intValueExact();
    }

    /** The order in which one server visits the entries of the table: from an offset, in steps of constant length. */
    private static final class Permutation {
        private final ServerRecord server;
        private final int skip;
        private int entry;
        private int visited;
        /**
         * The rows in which the server has entries. Stored because searching the row in the table would cost time
         * proportional to its length.
         */
        private int[] rows = new int[0];

        Permutation(ServerRecord server, int tableLength) {
            this.server = server;
            entry = (int) Math.floorMod(server.hash, (long) tableLength);
            skip = 1 + (int) Math.floorMod(server.hash >> 32, tableLength - 1L);
        }

        /**
         * Claims the next free entry in a row where this server has none; returns false if all entries have been
         * visited.
         */
        boolean claim(ServerRecord[] table, int rowLength) {
            while (visited < table.length && (table[entry] != null || hasRow(entry / rowLength))) {
                entry = (entry + skip) % table.length;
                visited++;
            }
            if (visited == table.length) {
                return false;
            }
            table[entry] = server;
            rows = Arrays.copyOf(rows, rows.length + 1);
            rows[rows.length - 1] = entry / rowLength;
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
