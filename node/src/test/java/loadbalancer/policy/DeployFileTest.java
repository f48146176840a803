package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The deploy file names each file of the decisions, since the bench takes files and no folders. */
class DeployFileTest {
    private static final Path DECISIONS = Path.of("node/src/main/java/loadbalancer/policy");
    private static final Pattern FILE = Pattern.compile("\"(" + DECISIONS + "/[^\"]+)\"");

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
}
