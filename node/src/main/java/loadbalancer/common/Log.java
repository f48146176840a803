package loadbalancer.common;

/**
 * The structured log of a node on standard error: one line an event, such as
 * {@code level=info event=listening address=127.0.0.1:8000}. Event names and keys are snake_case; a value that holds
 * spaces, quotes or equals signs is quoted. Fields whose value is null are left out.
 *
 * <p>Thread-safe. At most {@value #MAX_EVENTS_PER_SECOND} events a second are written, the rest are dropped: a flood of
 * failures must not stall the event loop, which waits for the write.
 */
public final class Log {
    private static final int MAX_EVENTS_PER_SECOND = 20;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private static long second;
    private static int events;

    private Log() {}

    /** Writes an event of ordinary operation; keys and values alternate. */
    public static void info(String event, Object... keysAndValues) {
        write("info", event, keysAndValues);
    }

    /** Writes an event that an operator should look at; keys and values alternate. */
    public static void warn(String event, Object... keysAndValues) {
        write("warn", event, keysAndValues);
    }

    /** Writes an exception that nobody expects, with its stack trace; keys and values alternate. */
    public static void error(String event, Throwable cause, Object... keysAndValues) {
        if (!hasRoom()) {
            return;
        }
        StringBuilder text = new StringBuilder(line("error", event, keysAndValues));
        append(text, "cause", cause);
        for (StackTraceElement frame : cause.getStackTrace()) {
            text.append("\n    at ").append(frame);
        }
        System.err.println(text);
    }

    private static void write(String level, String event, Object... keysAndValues) {
        if (hasRoom()) {
            System.err.println(line(level, event, keysAndValues));
        }
    }

    /** The text of an event. */
    static String line(String level, String event, Object... keysAndValues) {
        StringBuilder text =
                new StringBuilder("level=").append(level).append(" event=").append(event);
        for (int i = 0; i < keysAndValues.length; i += 2) {
            if (keysAndValues[i + 1] != null) {
                append(text, (String) keysAndValues[i], keysAndValues[i + 1]);
            }
        }
        return text.toString();
    }

    private static void append(StringBuilder text, String key, Object value) {
        String plain = value.toString().replace('\n', ' ').replace('\r', ' ');
        text.append(' ').append(key).append('=');
        if (needsQuotes(plain)) {
            text.append('"')
                    .append(plain.replace("\\", "\\\\").replace("\"", "\\\""))
                    .append('"');
        } else {
            text.append(plain);
        }
    }

    private static boolean needsQuotes(String value) {
        return value.isEmpty() || value.indexOf(' ') >= 0 || value.indexOf('"') >= 0 || value.indexOf('=') >= 0;
    }

    private static synchronized boolean hasRoom() {
        long now = System.nanoTime() / NANOS_PER_SECOND;
        if (now != second) {
            second = now;
            events = 0;
        }
        return ++events <= MAX_EVENTS_PER_SECOND;
    }
}
