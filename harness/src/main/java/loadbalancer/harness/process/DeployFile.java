package loadbalancer.harness.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Where the program is and how it is started, as the deploy file tells.
 *
 * @param root the folder from which commands run
 * @param run starts one real node
 */
public record DeployFile(Path root, String run) {

    /** Looks in this folder and above it. */
    public static DeployFile find(Path from) throws IOException {
        for (Path at = from.toAbsolutePath(); at != null; at = at.getParent()) {
            Path file = at.resolve("deploy/balancer.toml");
            if (Files.isRegularFile(file)) {
                JsonNode read = new TomlMapper().readTree(Files.readString(file));
                if (!read.path("run").isTextual()) {
                    throw new IOException(file + ": run is missing: must be the command that starts a node");
                }
                return new DeployFile(at, read.get("run").asText());
            }
        }
        throw new IOException("no deploy/balancer.toml in " + from.toAbsolutePath() + " or above it");
    }
}
