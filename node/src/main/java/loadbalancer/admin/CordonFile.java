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
 * The file that holds the ids of the cordoned servers, one a line in UTF-8. All processes of a node share it: during an
 * upgrade two versions of the program read and write it side by side, so its names and its format must not change.
 *
 * <p>Any process of the node may write the file, but only when an operator has called it, and only while it holds the
 * lock on the lock file. The file is replaced as a whole by a rename, so a reader needs no lock.
 */
final class CordonFile {
    private static final String NAME = "kitemux.cordons";
    private static final String LOCK_NAME = "kitemux.cordons.lock";
    private static final String REPLACEMENT_NAME = "kitemux.cordons.new";

    /** What is done while the lock is held. */
    interface LockedAction {
        void run() throws IOException;
    }

    private final Path file;
    private final Path lockFile;
    private final Path replacement;

    /** @param folder a folder that all processes of the node share */
    CordonFile(Path folder) {
        file = folder.resolve(NAME);
        lockFile = folder.resolve(LOCK_NAME);
        replacement = folder.resolve(REPLACEMENT_NAME);
    }

    Path path() {
        return file;
    }

    /**
     * Reads the ids.
     *
     * @throws java.nio.file.NoSuchFileException if no process has written the file yet
     */
    List<String> read() throws IOException {
        return Files.readAllLines(file);
    }

    /**
     * Runs an action while no other process changes the file.
     *
     * @throws RejectedCallException if another process holds the lock
     * @throws IOException if the lock file cannot be opened, or from the action
     * @throws OverlappingFileLockException if this process holds the lock already
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

    /** Replaces the file; the lock must be held. */
    void write(List<String> serverIds) throws IOException {
        Files.write(replacement, serverIds);
        Files.move(replacement, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }
}
