package loadbalancer.process;

import java.util.Map;
import java.util.concurrent.TimeUnit;
import loadbalancer.client.ClientServer;
import loadbalancer.client.RequestReader;
import loadbalancer.common.Log;
import loadbalancer.config.ClassRegistry;
import loadbalancer.config.ConfigException;
import loadbalancer.config.NodeConfig;
import loadbalancer.config.ReloadedConfigReader;
import loadbalancer.discovery.EndpointWatcher;
import loadbalancer.net.SocketAddresses;
import loadbalancer.request.RequestServices;

/**
 * Reloads the configuration file into a running node, on SIGHUP. A file is taken as a whole or not at all.
 *
 * <p>Requests in flight keep the class that they came with. Clients may ask by the classes before for as long as a
 * request by them can still be repeated; then these are forgotten.
 *
 * <p>{@link #reload} runs on the thread of the signal, all else on the event loop.
 */
final class ConfigReloader {
    private final NodeConfig startConfig;
    private final RequestServices services;
    private final ClientServer clients;
    private final EndpointWatcher discovery;
    private ClassRegistry classes;

    /** @param classes those of the configuration that the node starts with */
    ConfigReloader(
            NodeConfig startConfig,
            RequestServices services,
            ClientServer clients,
            EndpointWatcher discovery,
            ClassRegistry classes) {
        this.startConfig = startConfig;
        this.services = services;
        this.clients = clients;
        this.discovery = discovery;
        this.classes = classes;
    }

    /** The classes of requests as they are now. */
    ClassRegistry classes() {
        return classes;
    }

    /**
     * Reads the file again and applies it; a file that is not valid changes nothing.
     *
     * <p>Synchronized, as two signals in quick succession come on two threads: the one that reads the file last must
     * also be the last to apply it, or the node would go on with the older file.
     */
    synchronized void reload(Map<String, String> env) {
        try {
            NodeConfig config = ReloadedConfigReader.readWhenComplete(startConfig, env);
            services.loop().execute(() -> apply(config));
        } catch (ConfigException e) {
            Log.warn("reload_failed", "reason", e.getMessage());
            services.loop().execute(services.metrics()::onConfigRejected);
        }
    }

    private void apply(NodeConfig config) {
        Log.info(
                "reloaded",
                "discovery",
                config.discoveryAddress() == null ? null : SocketAddresses.format(config.discoveryAddress()));
        services.metrics().onConfigLoaded();
        services.metrics().register(config.settings().classes);
        ClassRegistry next = classes.reloaded(config.settings());
        classes = next;
        services.events()
                .submit(balancer -> balancer.onSettings(services.clock().nowUs(), next.settings()));
        clients.setRequestReader(new RequestReader(next));
        services.pool().setTimeouts(next.settings().connectTimeoutUs, config.serverIdleTimeoutUs());
        discovery.moveTo(config.discoveryAddress());
        services.loop().schedule(() -> retireClassesBefore(next), next.retirementDelayUs(), TimeUnit.MICROSECONDS);
    }

    /** Forgets the classes that are no longer in the file, unless another file has been applied since. */
    private void retireClassesBefore(ClassRegistry applied) {
        if (classes == applied) {
            classes = applied.withoutRetiredClasses();
            clients.setRequestReader(new RequestReader(classes));
        }
    }
}
