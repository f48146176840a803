package loadbalancer.harness.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The part of the deploy file that the harness uses: where the program is and how it is started.
 *
 * @param root the folder in which commands run
 * @param run the command that starts one node process
 */
public record DeployFile(Path root, String run) {

    /** Reads the deploy file of this folder or of the nearest folder above it that has one. */
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
