package loadbalancer.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;
import loadbalancer.discovery.Endpoint;
import loadbalancer.discovery.EndpointList;
import loadbalancer.policy.ServerEntry;
import loadbalancer.policy.ServerState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The cordon file that two versions of the program share during an upgrade: its names, its bytes and its lock. */
class CordonStoreTest {
    @TempDir
    private Path folder;

    private CordonStore store() {
        CordonStore store = new CordonStore(folder);
        store.onEndpointList(new EndpointList(
                1,
                true,
                List.of(
                        new Endpoint(new ServerEntry("s-2", 0, 0, ServerState.READY, 1, 0), null),
                        new Endpoint(new ServerEntry("s-1", 0, 0, ServerState.READY, 1, 0), null))));
        return store;
    }

    private Set<String> fileNames() throws Exception {
        try (Stream<Path> files = Files.list(folder)) {
            Set<String> names = new TreeSet<>();
            files.forEach(file -> names.add(file.getFileName().toString()));
            return names;
        }
    }

    @Test
    void fileHoldsOneIdPerLineInSortedOrder() throws Exception {
        CordonStore store = store();
        store.setCordoned("s-2", true);
        store.setCordoned("s-1", true);
        assertEquals("s-1\ns-2\n", Files.readString(folder.resolve("kitemux.cordons")));
        assertEquals(Set.of("kitemux.cordons", "kitemux.cordons.lock"), fileNames());
        assertEquals(0, Files.size(folder.resolve("kitemux.cordons.lock")));
        store.setCordoned("s-1", false);
        store.setCordoned("s-2", false);
        assertEquals("", Files.readString(folder.resolve("kitemux.cordons")));
        assertEquals(Set.of(), store.cordonedIds());
    }

    @Test
    void otherProcessFollowsAChangeAfterARefresh() throws Exception {
        CordonStore first = store();
        CordonStore second = store();
        first.setCordoned("s-1", true);
        assertEquals(Set.of(), second.cordonedIds());
        assertTrue(second.refresh());
        assertEquals(Set.of("s-1"), second.cordonedIds());
        assertFalse(second.refresh(), "nothing has changed since");
    }

    /** Another process is writing the file. If its lock were ignored, one of the two changes would be lost. */
    @Test
    void changeIsRejectedWhileTheLockIsHeld() throws Exception {
        CordonStore store = store();
        try (FileChannel other = FileChannel.open(
                folder.resolve("kitemux.cordons.lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
            other.lock();
            RejectedCallException e = assertThrows(RejectedCallException.class, () -> store.setCordoned("s-1", true));
            // Here the lock is held in the same process, which throws an exception. If another process holds it,
            // tryLock() returns null.
            assertEquals("cordons cannot be kept: java.nio.channels.OverlappingFileLockException", e.getMessage());
        }
        assertEquals(Set.of(), store.cordonedIds());
        assertEquals(Set.of("kitemux.cordons.lock"), fileNames());
        store.setCordoned("s-1", true);
        assertEquals(Set.of("s-1"), store.cordonedIds());
    }

    /** The disk fails during a change. The call is rejected, so the server must not be cordoned. */
    @Test
    void changeThatCannotBeWrittenIsNotApplied() throws Exception {
        CordonStore store = store();
        Files.createDirectory(folder.resolve("kitemux.cordons.new"));
        RejectedCallException e = assertThrows(RejectedCallException.class, () -> store.setCordoned("s-1", true));
        assertTrue(e.getMessage().startsWith("cordons cannot be kept: java.nio.file."), e.getMessage());
        assertEquals(Set.of(), store.cordonedIds());
    }

    @Test
    void cordonsWithoutASharedFolderAreInMemoryOnly() throws Exception {
        CordonStore store = new CordonStore(null);
        RejectedCallException e = assertThrows(RejectedCallException.class, () -> store.setCordoned("s-1", true));
        assertEquals("never listed: s-1", e.getMessage());
        store.onEndpointList(new EndpointList(
                1, true, List.of(new Endpoint(new ServerEntry("s-1", 0, 0, ServerState.READY, 1, 0), null))));
        store.setCordoned("s-1", true);
        assertEquals(Set.of("s-1"), store.cordonedIds());
        assertFalse(store.isShared());
        assertFalse(store.refresh());
    }
}
