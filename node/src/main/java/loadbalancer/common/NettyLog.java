package loadbalancer.common;

import io.netty.util.internal.logging.AbstractInternalLogger;
import io.netty.util.internal.logging.FormattingTuple;
import io.netty.util.internal.logging.InternalLogger;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.MessageFormatter;

/**
 * Passes warnings and errors of Netty on to {@link Log}.
 *
 * <p>Netty would use {@code java.util.logging} otherwise, which opens files when it writes its first line: it fails
 * exactly where the node runs out of file descriptors and has something to report.
 */
public final class NettyLog extends InternalLoggerFactory {
    private NettyLog() {}

    /** Makes Netty use this log. Must be called before any class of Netty is initialized. */
    public static void install() {
        InternalLoggerFactory.setDefaultFactory(new NettyLog());
    }

    @Override
    protected InternalLogger newInstance(String name) {
        return new Logger(name);
    }

    /** Logs warnings and errors; the other levels are disabled. */
    private static final class Logger extends AbstractInternalLogger {
        private static final long serialVersionUID = 1;

        Logger(String name) {
            super(name);
        }

        private void write(FormattingTuple formatted) {
            write(formatted.getMessage(), formatted.getThrowable());
        }

        private void write(String message, Throwable cause) {
            if (cause == null) {
                Log.warn("netty_warning", "logger", name(), "message", message);
            } else {
                Log.error("netty_error", cause, "logger", name(), "message", message);
            }
        }

        @Override
        public boolean isTraceEnabled() {
            return false;
        }

        @Override
        public void trace(String message) {}

        @Override
        public void trace(String format, Object argument) {}

        @Override
        public void trace(String format, Object first, Object second) {}

        @Override
        public void trace(String format, Object... arguments) {}

        @Override
        public void trace(String message, Throwable cause) {}

        @Override
        public boolean isDebugEnabled() {
            return false;
        }

        @Override
        public void debug(String message) {}

        @Override
        public void debug(String format, Object argument) {}

        @Override
        public void debug(String format, Object first, Object second) {}

        @Override
        public void debug(String format, Object... arguments) {}

        @Override
        public void debug(String message, Throwable cause) {}

        @Override
        public boolean isInfoEnabled() {
            return false;
        }

        @Override
        public void info(String message) {}

        @Override
        public void info(String format, Object argument) {}

        @Override
        public void info(String format, Object first, Object second) {}

        @Override
        public void info(String format, Object... arguments) {}

        @Override
        public void info(String message, Throwable cause) {}

        @Override
        public boolean isWarnEnabled() {
            return true;
        }

        @Override
        public void warn(String message) {
            write(message, null);
        }

        @Override
        public void warn(String format, Object argument) {
            write(MessageFormatter.format(format, argument));
        }

        @Override
        public void warn(String format, Object first, Object second) {
            write(MessageFormatter.format(format, first, second));
        }

        @Override
        public void warn(String format, Object... arguments) {
            write(MessageFormatter.arrayFormat(format, arguments));
        }

        @Override
        public void warn(String message, Throwable cause) {
            write(message, cause);
        }

        @Override
        public boolean isErrorEnabled() {
            return true;
        }

        @Override
        public void error(String message) {
            write(message, null);
        }

        @Override
        public void error(String format, Object argument) {
            write(MessageFormatter.format(format, argument));
        }

        @Override
        public void error(String format, Object first, Object second) {
            write(MessageFormatter.format(format, first, second));
        }

        @Override
        public void error(String format, Object... arguments) {
            write(MessageFormatter.arrayFormat(format, arguments));
        }

        @Override
        public void error(String message, Throwable cause) {
            write(message, cause);
        }
    }
}
