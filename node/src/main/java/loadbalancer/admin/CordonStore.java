package loadbalancer.admin;

import java.io.IOException;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import loadbalancer.common.Log;
import loadbalancer.discovery.Endpoint;
import loadbalancer.discovery.EndpointList;

/**
 * The servers that operators have cordoned, stored in a {@link CordonFile} that all processes of a node share. A call
 * to one process therefore applies to all of them: the others follow at their next {@link #refresh}, and a new process
 * starts with the cordons of the old one. Without a shared folder, cordons are stored in memory only.
 *
 * <p>Used on the event loop of the node only. File access blocks the event loop, but the file is small.
 */
public final class CordonStore {
    /** The maximum number of listed server ids to remember: more than any fleet has servers, but bounds the memory. */
    private static final int MAX_LISTED_IDS = 50_000;

    /** Null if cordons are stored in memory only. */
    private final CordonFile file;

    private Set<String> cordonedIds = Set.of();
    /** The lines of the file when last read or written. While they are unchanged, a refresh has nothing to do. */
    private List<String> lastFileLines = List.of();

    private boolean unreadableLogged;
    /** The ids of all servers listed since startup, used as a set; beyond the maximum, the first listed is removed. */
    private final Map<String, Boolean> listedIds = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MAX_LISTED_IDS;
        }
    };

    /** @param folder the folder that all processes of the node share; null if there is none */
    public CordonStore(Path folder) {
        file = folder == null ? null : new CordonFile(folder);
    }

    /** Returns an immutable set of the ids of the cordoned servers. */
    public Set<String> cordonedIds() {
        return cordonedIds;
    }

    /** Returns whether other processes of the node may share the cordons. */
    public boolean isShared() {
        return file != null;
    }

    /** Remembers the servers of a list: {@link #setCordoned} accepts only these and servers that are cordoned. */
    public void onEndpointList(EndpointList list) {
        for (Endpoint endpoint : list.endpoints()) {
            listedIds.put(endpoint.server().id(), true);
        }
    }

    /**
     * Reads the cordons that any process of the node has written. If the file does not exist or cannot be read, the
     * cordons remain unchanged.
     *
     * @return whether the set of cordoned servers has changed
     */
    public boolean refresh() {
        if (file == null) {
            return false;
        }
        try {
            List<String> lines = file.read();
            unreadableLogged = false;
            if (lines.equals(lastFileLines)) {
                return false;
            }
            lastFileLines = lines;
            return replaceCordons(lines);
        } catch (NoSuchFileException e) {
            return false;
        } catch (IOException e) {
            if (!unreadableLogged) {
                unreadableLogged = true;
                Log.warn("cordons_unreadable", "file", file.path(), "cause", e);
            }
            return false;
        }
    }

    /**
     * Cordons or uncordons a server. The file, if cordons are shared, is written before the cordon in memory changes,
     * so that an accepted call remains in force after this process has ended.
     *
     * @throws RejectedCallException if the server has never been listed, another process holds the lock, or the file
     *     cannot be written; this call has changed no cordon, but {@link #cordonedIds} may already contain changes of
     *     another process that were read under the lock, which a later {@link #refresh} does not report
     */
    public void setCordoned(String serverId, boolean cordoned) throws RejectedCallException {
        if (!listedIds.containsKey(serverId) && !cordonedIds.contains(serverId)) {
            throw new RejectedCallException("never listed: " + serverId);
        }
        if (file == null) {
            replaceCordons(idsWith(serverId, cordoned));
            return;
        }
        try {
            file.withLock(() -> {
                // Another process may have written the file since the last refresh; its change must not be lost. If the
                // file cannot be read now, it is replaced by the cordons in memory and the change is lost.
                refresh();
                List<String> lines = idsWith(serverId, cordoned);
                file.write(lines);
                lastFileLines = lines;
                replaceCordons(lines);
            });
        } catch (IOException | OverlappingFileLockException e) {
            throw new RejectedCallException("cordons cannot be kept: " + e);
        }
    }

    private boolean replaceCordons(List<String> serverIds) {
        Set<String> previousIds = cordonedIds;
        cordonedIds = Set.copyOf(serverIds);
        return !cordonedIds.equals(previousIds);
    }

    /** Returns the cordoned ids in sorted order, with the given server added or removed. */
    private List<String> idsWith(String serverId, boolean cordoned) {
        TreeSet<String> serverIds = new TreeSet<>(cordonedIds);
        if (cordoned) {
            serverIds.add(serverId);
        } else {
            serverIds.remove(serverId);
        }
        return List.copyOf(serverIds);
    }
}
