package loadbalancer.process;

import java.lang.reflect.Proxy;
import loadbalancer.common.Log;

/**
 * Handles SIGHUP, which the platform sends after it has replaced the configuration file. Without a handler, the signal
 * ends the process.
 *
 * <p>The JDK handles signals only through {@code sun.misc.Signal}, in a package that it exports. It is called by
 * reflection because the compiler warns about that package and the warning cannot be suppressed.
 */
final class ReloadSignal {
    private ReloadSignal() {}

    /**
     * Sets the handler for SIGHUP.
     *
     * @param reload runs on a new thread for each signal, so two signals may run it on two threads at the same time
     */
    static void handle(Runnable reload) {
        try {
            Class<?> signalType = Class.forName("sun.misc.Signal");
            Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
            Object reloadHandler = Proxy.newProxyInstance(
                    ReloadSignal.class.getClassLoader(), new Class<?>[] {handlerType}, (proxy, method, args) -> {
                        reload.run();
                        return null;
                    });
            Object previousHandler = signalType
                    .getMethod("handle", signalType, handlerType)
                    .invoke(null, signalType.getConstructor(String.class).newInstance("HUP"), reloadHandler);
            warnIfIgnored(previousHandler, handlerType);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("SIGHUP cannot be handled", e);
        }
    }

    /**
     * Logs a warning if SIGHUP is ignored, because reloads are then lost silently. The JVM keeps ignoring a signal that
     * was ignored when the process started, as under nohup. The node would then keep using the old address of a
     * discovery service that has moved.
     */
    private static void warnIfIgnored(Object previousHandler, Class<?> handlerType)
            throws ReflectiveOperationException {
        if (previousHandler == handlerType.getField("SIG_IGN").get(null)) {
            Log.warn(
                    "reload_unavailable",
                    "reason",
                    "SIGHUP was ignored at the start, as under nohup: the configuration cannot be reloaded");
        }
    }
}
