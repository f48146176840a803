package loadbalancer.admin;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import loadbalancer.common.Log;
import loadbalancer.discovery.EndpointList;

/**
 * The servers that operators keep out by hand. They stand in a file that all processes of this node share: a
 * call to either of two counts for both, and a new process begins with them.
 */
public final class CordonStore {
    /** Ids that are remembered as once listed: many times what any fleet holds, but bounded. */
    private static final int MOST_REMEMBERED = 50_000;

    private final Path file;
    private final Path lock;
    /** The file as it was last read, so that each state is told once. */
    private List<String> lines = List.of();

    private Set<String> out = Set.of();
    private boolean unreadable;
    private final Map<String, Boolean> listed = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MOST_REMEMBERED;
        }
    };

    /** Kept in this folder, or only in memory where it is null. */
    public CordonStore(Path folder) {
        file = folder == null ? null : folder.resolve("kitemux.cordons");
        lock = folder == null ? null : folder.resolve("kitemux.cordons.lock");
    }

    public Set<String> out() {
        return out;
    }

    /** Whether other processes of this node may go by them too. */
    public boolean areShared() {
        return file != null;
    }

    public void listed(EndpointList list) {
        list.endpoints().forEach(endpoint -> listed.put(endpoint.server().id(), true));
    }

    /** Reads what any process of this node has written; true if that changed what is out. */
    public boolean refresh() {
        if (file == null) {
            return false;
        }
        try {
            List<String> read = Files.readAllLines(file);
            unreadable = false;
            if (read.equals(lines)) {
                return false;
            }
            lines = read;
            return set(read);
        } catch (NoSuchFileException e) {
            return false;
        } catch (IOException e) {
            if (!unreadable) {
                unreadable = true;
                Log.warn("cordons_unreadable", "file", file, "cause", e);
            }
            return false;
        }
    }

    private boolean set(List<String> ids) {
        Set<String> before = out;
        out = Set.copyOf(ids);
        return !out.equals(before);
    }

    /** Changes one server's cordon, in the file first: what is answered with yes outlives this process. */
    public void change(String serverId, boolean keepOut) throws RejectedCallException {
        if (!listed.containsKey(serverId) && !out.contains(serverId)) {
            throw new RejectedCallException("never listed: " + serverId);
        }
        if (file == null) {
            set(List.copyOf(changed(serverId, keepOut)));
            return;
        }
        try (FileChannel guard = FileChannel.open(lock, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
                FileLock held = guard.tryLock()) {
            if (held == null) {
                throw new RejectedCallException("another process is changing cordons, call again");
            }
            refresh();
            List<String> ids = List.copyOf(changed(serverId, keepOut));
            Path whole = Files.write(file.resolveSibling(file.getFileName() + ".new"), ids);
            Files.move(whole, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
            lines = ids;
            set(ids);
        } catch (IOException | OverlappingFileLockException e) {
            throw new RejectedCallException("cordons cannot be kept: " + e);
        }
    }

    private TreeSet<String> changed(String serverId, boolean keepOut) {
        TreeSet<String> ids = new TreeSet<>(out);
        if (keepOut) {
            ids.add(serverId);
        } else {
            ids.remove(serverId);
        }
        return ids;
    }
}
