package loadbalancer.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;

/**
 * The configuration of the operation of a node: control, cordons and upgrades.
 *
 * @param controlAddress the address at which operators send calls; null if there is none
 * @param sharedFolder the folder that all processes of the node share; null if there is none
 * @param inheritsListener whether the platform owns the listening socket for clients and passes it to each process
 */
public record OperationsConfig(InetSocketAddress controlAddress, Path sharedFolder, boolean inheritsListener) {
    /** The configuration of a node without control address, shared folder and inherited listener. */
    static final OperationsConfig NONE = new OperationsConfig(null, null, false);
}
