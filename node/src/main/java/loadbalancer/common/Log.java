package loadbalancer.common;

/**
 * The structured log of a node on standard error, with one line per event, such as
 * {@code level=info event=listening address=127.0.0.1:8000}. Event names and keys are in snake_case. A value that is
 * empty or contains spaces, quotes or equals signs is quoted, and its line breaks are replaced by spaces. Fields whose
 * value is null are omitted.
 *
 * <p>Thread-safe. At most {@value #MAX_EVENTS_PER_SECOND} events per second are written, further ones are dropped. A
 * write blocks the calling thread, so without this limit many failures at once could stall the event loop.
 */
public final class Log {
    private static final int MAX_EVENTS_PER_SECOND = 20;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private static long currentSecond;
    private static int eventsInSecond;

    private Log() {}

    /** Logs an event of normal operation. Keys and values alternate. */
    public static void info(String event, Object... keysAndValues) {
        write("info", event, keysAndValues);
    }

    /** Logs an event that an operator should examine. Keys and values alternate. */
    public static void warn(String event, Object... keysAndValues) {
        write("warn", event, keysAndValues);
    }

    /** Logs an unexpected exception with its stack trace, which takes further lines. Keys and values alternate. */
    public static void error(String event, Throwable cause, Object... keysAndValues) {
        if (!tryAcquire()) {
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
        if (tryAcquire()) {
            System.err.println(line(level, event, keysAndValues));
        }
    }

    /** Formats an event as a line of the log. */
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

    /** Counts an event and returns whether it is within the limit per second. */
    private static synchronized boolean tryAcquire() {
        long now = System.nanoTime() / NANOS_PER_SECOND;
        if (now != currentSecond) {
            currentSecond = now;
            eventsInSecond = 0;
        }
        return ++eventsInSecond <= MAX_EVENTS_PER_SECOND;
    }
}
