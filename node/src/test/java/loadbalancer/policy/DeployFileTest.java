package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * The deploy file must list each file of package policy, because its reader accepts no folder there, and each package
 * that a node loads.
 */
class DeployFileTest {
    private static final Path PACKAGES = Path.of("node/src/main/java/loadbalancer");
    private static final Path POLICY = PACKAGES.resolve("policy");
    private static final Pattern FILE = Pattern.compile("\"(" + POLICY + "/[^\"]+)\"");
    private static final Pattern PACKAGE = Pattern.compile("\"" + PACKAGES + "/([a-z]+)\"");
    /** Package policy has a list of its own; a node without a fleet does not load the other two. */
    private static final Set<String> NOT_LOADED_BY_NODE = Set.of("policy", "simulator", "membership");

    @Test
    void policyListsEveryFileOfThePackage() throws IOException {
        List<String> listed = FILE.matcher(Files.readString(Path.of("deploy/balancer.toml")))
                .results()
                .map(match -> match.group(1))
                .toList();
        try (Stream<Path> files = Files.list(POLICY)) {
            assertEquals(files.map(Path::toString).sorted().toList(), listed);
        }
    }

    @Test
    void nodeListsEveryPackageItLoads() throws IOException {
        List<String> listed = PACKAGE.matcher(Files.readString(Path.of("deploy/balancer.toml")))
                .results()
                .map(match -> match.group(1))
                .toList();
        try (Stream<Path> files = Files.list(PACKAGES)) {
            List<String> packages = files.filter(Files::isDirectory)
                    .map(folder -> folder.getFileName().toString())
                    .filter(name -> !NOT_LOADED_BY_NODE.contains(name))
                    .sorted()
                    .toList();
            assertEquals(packages, listed);
        }
    }
}
