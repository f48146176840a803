package loadbalancer.config;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Reads the configuration file again while the node runs. Blocks, so it must not be used on the event loop.
 *
 * <p>A file is accepted or rejected as a whole. If it is rejected, an exception is thrown and nothing is applied: the
 * node keeps the last configuration that was applied.
 */
public final class ReloadedConfigReader {
    /**
     * For how long an invalid file is read again. Operators may expect the metrics to show a rejected file within half
     * a second, so this must be shorter.
     */
    private static final long RETRY_FOR_MILLIS = 200;

    private static final long RETRY_INTERVAL_MILLIS = 20;

    private ReloadedConfigReader() {}

    /**
     * Reads the file once. The address of the discovery service is taken from the file; the environment variable for
     * it applies at startup only. A key that the file had at startup is required, even if it is optional at startup: a
     * file without it is most likely truncated, and the rest of it cannot be trusted either.
     *
     * @param startConfig the configuration that the node started with
     * @throws ConfigException if a value is missing or invalid; the exception names the key
     */
    public static NodeConfig read(NodeConfig startConfig, Map<String, String> environment) throws ConfigException {
        Map<String, String> reloadEnvironment = new HashMap<>(environment);
        reloadEnvironment.remove(ConfigNames.ENV_DISCOVERY);
        NodeConfig reloaded = NodeConfigReader.read(reloadEnvironment);
        for (String key : startConfig.configuredKeys()) {
            if (!reloaded.configuredKeys().contains(key)) {
                throw new ConfigException(key, "is missing but was present at startup");
            }
        }
        return reloaded;
    }

    /**
     * Like {@link #read}, but reads an invalid file repeatedly for up to 200 ms: the reload signal may arrive before
     * the file has been written completely.
     */
    public static NodeConfig readWhenComplete(NodeConfig startConfig, Map<String, String> environment)
            throws ConfigException {
        long retryUntilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RETRY_FOR_MILLIS);
        while (true) {
            try {
                return read(startConfig, environment);
            } catch (ConfigException e) {
                if (System.nanoTime() > retryUntilNanos) {
                    throw e;
                }
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(RETRY_INTERVAL_MILLIS));
        }
    }
}
