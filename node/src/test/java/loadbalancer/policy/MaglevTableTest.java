package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.HashSet;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class MaglevTableTest {

    private static ServerRecord[] servers(int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> new ServerRecord("s" + i))
                .toArray(ServerRecord[]::new);
    }

    @Test
    void eachServerHasAboutEquallyManyEntries() {
        ServerRecord[] table = MaglevTable.build(servers(10), 1_000, 1);
        assertEquals(1_009, table.length);
        for (ServerRecord server : new HashSet<>(Arrays.asList(table))) {
            long entries = Arrays.stream(table).filter(each -> each == server).count();
            assertTrue(entries >= 100 && entries <= 101, server.id + " has " + entries);
        }
    }

    @Test
    void noServerHasTwoEntriesInOneRow() {
        ServerRecord[] table = MaglevTable.build(servers(30), 8 * 10, 10);
        for (int first = 0; first + 10 <= table.length; first += 10) {
            ServerRecord[] row = Arrays.copyOfRange(table, first, first + 10);
            assertEquals(10, new HashSet<>(Arrays.asList(row)).size());
        }
    }

    @Test
    void removedServerMovesFewEntriesOfTheOthers() {
        ServerRecord[] all = servers(20);
        ServerRecord[] before = MaglevTable.build(all, 2_000, 1);
        ServerRecord[] after = MaglevTable.build(Arrays.copyOf(all, 19), 2_000, 1);
        long moved = IntStream.range(0, before.length)
                .filter(i -> before[i] != all[19] && before[i] != after[i])
                .count();
        assertTrue(moved < before.length / 20, moved + " of " + before.length);
    }
}
