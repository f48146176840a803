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
    private static final Path DECISIONS = PACKAGES.resolve("policy");
    private static final Pattern FILE = Pattern.compile("\"(" + DECISIONS + "/[^\"]+)\"");
    private static final Pattern PACKAGE = Pattern.compile("\"" + PACKAGES + "/([a-z]+)\"");
    /** Package policy has a list of its own; a node without a fleet does not load the other two. */
    private static final Set<String> NOT_OF_A_NODE = Set.of("policy", "simulator", "membership");

    @Test
    void policyNamesEveryFileOfTheDecisions() throws IOException {
        List<String> named = FILE.matcher(Files.readString(Path.of("deploy/balancer.toml")))
                .results()
                .map(match -> match.group(1))
                .toList();
        try (Stream<Path> files = Files.list(DECISIONS)) {
            assertEquals(files.map(Path::toString).sorted().toList(), named);
        }
    }

    @Test
    void nodeNamesEveryPackageOfANode() throws IOException {
        List<String> named = PACKAGE.matcher(Files.readString(Path.of("deploy/balancer.toml")))
                .results()
                .map(match -> match.group(1))
                .toList();
        try (Stream<Path> files = Files.list(PACKAGES)) {
            List<String> packages = files.filter(Files::isDirectory)
                    .map(folder -> folder.getFileName().toString())
                    .filter(name -> !NOT_OF_A_NODE.contains(name))
                    .sorted()
                    .toList();
            assertEquals(packages, named);
        }
    }
}
