package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.lang.invoke.MethodType;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import loadbalancer.Main;
import org.junit.jupiter.api.Test;

/** The class list of the class data archive. Each class that is missing in it makes every start of a node slower. */
class ClassListTest {

    @Test
    void listContainsEveryClassOfANode() throws Exception {
        Path classes = Path.of(
                Main.class.getProtectionDomain().getCodeSource().getLocation().toURI());
        Set<String> listed = Set.copyOf(Files.readAllLines(Path.of("deploy/classes.lst")));
        List<String> built = built(classes);
        assertTrue(built.contains("loadbalancer/process/Node"), built.toString());
        List<String> missing =
                built.stream().filter(name -> !listed.contains(name)).toList();
        assertEquals(List.of(), missing, "classes missing in deploy/classes.lst; rebuild it as the README says");
        // A class that a node loads only if a setting enables it must not be listed.
        assertEquals(
                List.of(), listed.stream().filter(ClassListTest::isOffByDefault).toList());
    }

    /**
     * Guards against lambdas that are linked at each start. Another lambda in a class changes the numbers of the
     * others, and the list then names lambdas that do not exist.
     */
    @Test
    void everyListedLambdaExists() throws Exception {
        List<String> lambdas = Files.readAllLines(Path.of("deploy/classes.lst")).stream()
                .filter(line -> line.startsWith("@lambda-proxy loadbalancer/") && line.contains(" lambda$"))
                .toList();
        assertTrue(lambdas.size() > 50, "lambdas in deploy/classes.lst: " + lambdas.size());
        for (String line : lambdas) {
            String[] words = line.split(" ");
            int method = List.of(words)
                    .indexOf(Stream.of(words)
                            .filter(word -> word.startsWith("lambda$"))
                            .findFirst()
                            .orElseThrow());
            Class<?> owner =
                    Class.forName(words[method - 1].replace('/', '.'), false, ClassListTest.class.getClassLoader());
            assertTrue(
                    Stream.of(owner.getDeclaredMethods())
                            .anyMatch(m -> m.getName().equals(words[method])
                                    && MethodType.methodType(m.getReturnType(), m.getParameterTypes())
                                            .toMethodDescriptorString()
                                            .equals(words[method + 1])),
                    "rebuild deploy/classes.lst as the README says, it names a lambda that does not exist: " + line);
        }
    }

    private static boolean isOffByDefault(String name) {
        return name.startsWith("loadbalancer/membership/");
    }

    /**
     * Returns the built classes, except those of the simulator adapter, which no node loads, and those that are off by
     * default.
     */
    private static List<String> built(Path classes) throws IOException {
        try (Stream<Path> files = Files.walk(classes.resolve("loadbalancer"))) {
            return files.map(file -> classes.relativize(file).toString().replace('\\', '/'))
                    .filter(name -> name.endsWith(".class")
                            && !name.startsWith("loadbalancer/simulator/")
                            && !isOffByDefault(name))
                    .map(name -> name.substring(0, name.length() - ".class".length()))
                    .sorted()
                    .collect(Collectors.toList());
        }
    }
}
