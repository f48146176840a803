package loadbalancer.config;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The flattened settings and the keys of a configuration file. */
class ConfigFileTest {
    @TempDir
    private Path folder;

    private ConfigFile file(String text) throws Exception {
        return ConfigFile.read(
                Files.writeString(folder.resolve("config.json"), text).toString());
    }

    @Test
    void settingsAreFlattenedToDottedNames() throws Exception {
        ConfigFile file = file("""
                {"settings":{"me":1,"none":null,"limits":{"cancelling":true,"deep":{"x":"y"}},"zones":["a","b"],
                 "empty":[],"classes":[{"name":"p"},{"name":"q","windowUs":5}]}}
                """);
        assertEquals(
                Map.ofEntries(
                        Map.entry("me", "1"),
                        Map.entry("limits.cancelling", "true"),
                        Map.entry("limits.deep.x", "y"),
                        Map.entry("zones", "a,b"),
                        Map.entry("empty", ""),
                        Map.entry("classes.count", "2"),
                        Map.entry("classes.0.name", "p"),
                        Map.entry("classes.1.name", "q"),
                        Map.entry("classes.1.windowUs", "5")),
                file.flattenedSettings());
    }

    @Test
    void keysOfAListAreTheKeysCommonToItsObjects() throws Exception {
        ConfigFile file = file("""
                {"name":"n","none":null,"known":{"rev":1,"targets":[{"uid":"s"}]},
                 "settings":{"zones":["a"],"classes":[{"name":"p","group":"all"},{"name":"q"}]}}
                """);
        assertEquals(
                Set.of("name", "settings", "settings.zones", "settings.classes", "settings.classes[].name"),
                file.keys());
    }
}
