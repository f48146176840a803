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
 * Reloads the configuration file of a running node on SIGHUP. An invalid file changes nothing. A valid file is applied,
 * except for what changes only with a restart: the addresses that the node listens on, its limit on sockets, its
 * membership, and the settings that {@link ClassRegistry#reloaded} keeps.
 *
 * <p>Requests in flight keep the rules of the class that they arrived with. A class that the new file drops or changes
 * is still accepted until the longest deadline of such a class has passed, because clients may retry requests that they
 * sent under it.
 *
 * <p>{@link #reload} runs on the signal's thread, all other methods on the event loop.
 */
final class ConfigReloader {
    private final NodeConfig startConfig;
    private final RequestServices services;
    private final ClientServer clients;
    private final EndpointWatcher discovery;
    private ClassRegistry classes;

    /** @param classes the request classes of the configuration that the node starts with */
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

    /** Returns the request classes in effect. */
    ClassRegistry classes() {
        return classes;
    }

    /**
     * Reads the file again and applies it. An invalid file changes nothing; it is logged and counted.
     *
     * <p>Synchronized because two signals in quick succession arrive on two threads. The thread that reads the file
     * last must also be the last to apply it, otherwise the node would keep the older file.
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
        services.loop().schedule(() -> retireDroppedClasses(next), next.retirementDelayUs(), TimeUnit.MICROSECONDS);
    }

    /** Stops accepting classes that are no longer in the file, unless another file has been applied since. */
    private void retireDroppedClasses(ClassRegistry current) {
        if (classes == current) {
            classes = current.withoutRetiredClasses();
            clients.setRequestReader(new RequestReader(classes));
        }
    }
}
