package loadbalancer.eventloop;

import io.netty.channel.nio.NioIoHandle;
import java.nio.channels.ServerSocketChannel;
import loadbalancer.common.Log;

/**
 * Keeps an event loop running when the handling of an event, or a whole turn, throws. Otherwise one error, such as a
 * class that cannot be loaded, would end the thread of the loop and leave all requests open. Used on the loop only.
 */
final class LoopFailures {
    /** A loop that fails in this many turns in a row cannot be used any more. */
    static final int MAX_FAILED_TURNS_IN_A_ROW = 100;

    private int failedTurnsInARow;

    /** Logs what the handling of an event has thrown and closes its channel, except for a listening socket. */
    void onEventFailed(NioIoHandle handle, Throwable cause) {
        log("event_handling_error", cause);
        if (handle.selectableChannel() instanceof ServerSocketChannel) {
            return;
        }
        try {
            handle.close();
        } catch (Exception | Error e) {
            log("channel_close_error", e);
        }
    }

    /** Records a turn that has not thrown. */
    void onTurnCompleted() {
        failedTurnsInARow = 0;
    }

    /**
     * Logs what a turn has thrown. The next turn polls again.
     *
     * @throws IllegalStateException if too many turns in a row have failed, which ends the loop
     */
    void onTurnFailed(Throwable cause) {
        log("event_loop_error", cause);
        if (++failedTurnsInARow >= MAX_FAILED_TURNS_IN_A_ROW) {
            throw new IllegalStateException("the event loop fails in every turn", cause);
        }
    }

    /** Logs as far as possible: after an error of the JVM, logging may fail as well. */
    private static void log(String event, Throwable cause) {
        try {
            Log.error(event, cause);
        } catch (RuntimeException | Error e) {
            // Nothing is left to report it to, and the loop has to go on.
        }
    }
}
