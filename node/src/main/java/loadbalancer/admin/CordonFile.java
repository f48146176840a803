package loadbalancer.admin;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;

/**
 * The file with the ids of the cordoned servers, one per line in UTF-8. All processes of a node share it. During an
 * upgrade, two versions of the program read and write it concurrently, so the format and the file names, with the
 * prefix {@code kitemux}, must not change.
 *
 * <p>Any process of the node may write the file, but only to execute an operator's call to cordon or uncordon a server,
 * and only while it holds the lock on the lock file. The file is replaced atomically by a rename, so readers need no
 * lock.
 */
final class CordonFile {
    private static final String NAME = "kitemux.cordons";
    private static final String LOCK_NAME = "kitemux.cordons.lock";
    private static final String REPLACEMENT_NAME = "kitemux.cordons.new";

    /** An action that runs while the lock is held. */
    interface LockedAction {
        void run() throws IOException;
    }

    private final Path file;
    private final Path lockFile;
    private final Path replacement;

    /** @param folder the folder that all processes of the node share */
    CordonFile(Path folder) {
        file = folder.resolve(NAME);
        lockFile = folder.resolve(LOCK_NAME);
        replacement = folder.resolve(REPLACEMENT_NAME);
    }

    Path path() {
        return file;
    }

    /**
     * Reads the ids of the cordoned servers.
     *
     * @throws java.nio.file.NoSuchFileException if no process has written the file yet
     */
    List<String> read() throws IOException {
        return Files.readAllLines(file);
    }

    /**
     * Runs an action while holding the lock, so that no other process changes the file.
     *
     * @throws RejectedCallException if another process holds the lock
     * @throws IOException if the lock file cannot be opened or locked, or if the action throws it
     * @throws OverlappingFileLockException if this process already holds the lock
     */
    void withLock(LockedAction action) throws IOException, RejectedCallException {
        try (FileChannel channel = FileChannel.open(lockFile, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
                FileLock lock = channel.tryLock()) {
            if (lock == null) {
                throw new RejectedCallException("another process is changing cordons, call again");
            }
            action.run();
        }
    }

    /** Replaces the contents of the file. The lock must be held. */
    void write(List<String> serverIds) throws IOException {
        Files.write(replacement, serverIds);
        Files.move(replacement, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }
}
