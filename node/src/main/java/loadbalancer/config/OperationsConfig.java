package loadbalancer.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;

/**
 * What a node is given so that operators can run it day by day.
 *
 * @param controlAddress where operators call; null if there is no such address
 * @param sharedFolder the folder that all processes of the node share; null if there is none
 * @param inheritsListener whether the platform holds the clients' listening socket and hands it to each process
 */
public record OperationsConfig(InetSocketAddress controlAddress, Path sharedFolder, boolean inheritsListener) {
    /** Of a node that no operator runs. */
    static final OperationsConfig NONE = new OperationsConfig(null, null, false);
}
