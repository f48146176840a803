package loadbalancer.harness.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Reads the end of a process's log for the message of a failed run: why the process ended or does not respond. */
final class LogTail {
    private static final int MAX_LINES = 12;
    private static final String LINE_START = "\n    ";

    private LogTail() {}

    /** Returns the last lines of a log, each on an indented line of its own, or why the log cannot be read. */
    static String of(Path log) {
        try {
            List<String> lines = Files.readAllLines(log);
            int first = Math.max(0, lines.size() - MAX_LINES);
            return LINE_START + String.join(LINE_START, lines.subList(first, lines.size()));
        } catch (IOException e) {
            return " and its log cannot be read: " + e;
        }
    }
}
