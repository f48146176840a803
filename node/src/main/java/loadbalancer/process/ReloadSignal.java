package loadbalancer.process;

import java.lang.reflect.Proxy;
import loadbalancer.common.Log;

/**
 * SIGHUP, by which the platform says that the configuration file has been replaced; left alone it would end
 * the process. The JDK tells of it by sun.misc.Signal only, which it exports; called by name, as the compiler
 * warns of that package and lets nobody suppress it.
 */
final class ReloadSignal {
    private ReloadSignal() {}

    /** Runs this, on a thread of its own, each time that the signal comes. */
    static void handle(Runnable reload) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object reloader = Proxy.newProxyInstance(
                    ReloadSignal.class.getClassLoader(), new Class<?>[] {handler}, (proxy, method, args) -> {
                        reload.run();
                        return null;
                    });
            Object before = signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), reloader);
            if (before == handler.getField("SIG_IGN").get(null)) {
                // The JVM leaves it so, as nohup wants it: the list would be lost where discovery moves.
                Log.warn(
                        "reload_unavailable",
                        "reason",
                        "SIGHUP is ignored, as by nohup: no new configuration will be taken");
            }
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("SIGHUP cannot be handled", e);
        }
    }
}
