package loadbalancer.config;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Reads the configuration file again for a node that runs. Blocks, so it must not be used on the event loop. */
public final class ReloadedConfigReader {
    /** For how long an invalid file is read again; operators may wait half a second for the metrics to show it. */
    private static final long RETRY_FOR_MILLIS = 200;

    private static final long RETRY_INTERVAL_MILLIS = 20;

    private ReloadedConfigReader() {}

    /**
     * Reads the file as it is now. The environment's address of the discovery service counts at the start only. Keys
     * that are optional at the start are required if the file had them then: the file was most likely cut, and the rest
     * of it cannot be trusted either.
     *
     * @param running the configuration that the node started with
     * @throws ConfigException if a value is missing or invalid; it names the key
     */
    public static NodeConfig read(NodeConfig running, Map<String, String> environment) throws ConfigException {
        Map<String, String> remaining = new HashMap<>(environment);
        remaining.remove(ConfigNames.ENV_DISCOVERY);
        NodeConfig reloaded = NodeConfigReader.read(remaining);
        for (String key : running.configuredKeys()) {
            if (!reloaded.configuredKeys().contains(key)) {
                throw new ConfigException(key, "is missing, and was there before");
            }
        }
        return reloaded;
    }

    /**
     * Like {@link #read}, but reads an invalid file again for a short time: the signal may come before the file has
     * been written to its end.
     */
    public static NodeConfig readWhenComplete(NodeConfig running, Map<String, String> environment)
            throws ConfigException {
        long retryUntilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RETRY_FOR_MILLIS);
        while (true) {
            try {
                return read(running, environment);
            } catch (ConfigException e) {
                if (System.nanoTime() > retryUntilNanos) {
                    throw e;
                }
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(RETRY_INTERVAL_MILLIS));
        }
    }
}
