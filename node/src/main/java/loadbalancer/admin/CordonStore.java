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
 * The servers that operators have cordoned. They are kept in a {@link CordonFile}, which all processes of a node share:
 * a call to one process binds all of them, and a new process starts with the cordons of the old one. Without a shared
 * folder they are kept in memory only. Used on the event loop of the node only; the file is small.
 */
public final class CordonStore {
    /** How many ids of listed servers are remembered: many times the size of any fleet, but bounded. */
    private static final int MAX_LISTED_IDS = 50_000;

    /** Null if cordons are kept in memory only. */
    private final CordonFile file;

    private Set<String> cordonedIds = Set.of();
    /** The file as it was read or written last: while it is the same, nothing has to be done. */
    private List<String> lastFileLines = List.of();

    private boolean unreadableLogged;
    /** The ids that have been listed since the start; the map is used as a set. */
    private final Map<String, Boolean> listedIds = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MAX_LISTED_IDS;
        }
    };

    /** @param folder the folder that the processes of this node share; null if there is none */
    public CordonStore(Path folder) {
        file = folder == null ? null : new CordonFile(folder);
    }

    /** The ids of the cordoned servers; immutable. */
    public Set<String> cordonedIds() {
        return cordonedIds;
    }

    /** Whether other processes of this node may follow the same cordons. */
    public boolean isShared() {
        return file != null;
    }

    /** Remembers the listed servers: only these can be cordoned. */
    public void onEndpointList(EndpointList list) {
        for (Endpoint endpoint : list.endpoints()) {
            listedIds.put(endpoint.server().id(), true);
        }
    }

    /** Reads what any process of this node has written; true if that changed which servers are cordoned. */
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
     * Cordons a server or ends its cordon. The file is written first, so that an accepted call outlives this process.
     *
     * @throws RejectedCallException if the server was never listed or the file cannot be written; nothing has changed
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
                // Another process may have written since the last look; its change must not be lost.
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
        Set<String> before = cordonedIds;
        cordonedIds = Set.copyOf(serverIds);
        return !cordonedIds.equals(before);
    }

    /** The cordoned ids in order, once this server is or is no longer among them. */
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
