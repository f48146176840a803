package loadbalancer.process;

import java.lang.reflect.Proxy;
import loadbalancer.common.Log;

/**
 * Handles SIGHUP, by which the platform says that the configuration file has been replaced. Without a handler the
 * signal ends the process.
 *
 * <p>The JDK offers signals by {@code sun.misc.Signal} only, which it exports. It is called by reflection, as the
 * compiler warns of that package and the warning cannot be suppressed.
 */
final class ReloadSignal {
    private ReloadSignal() {}

    /**
     * Runs this each time that the signal comes, on a thread of its own: two signals may run it on two threads at once.
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
     * Guards against a reload that is lost without a trace: the JVM leaves a signal ignored that was ignored at its
     * start, as under nohup. The node then never learns of a discovery that has moved.
     */
    private static void warnIfIgnored(Object previousHandler, Class<?> handlerType)
            throws ReflectiveOperationException {
        if (previousHandler == handlerType.getField("SIG_IGN").get(null)) {
            Log.warn(
                    "reload_unavailable",
                    "reason",
                    "SIGHUP is ignored, as by nohup: no new configuration will be taken");
        }
    }
}
