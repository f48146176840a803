package loadbalancer.harness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption.DoNotIncludeTests;
import com.tngtech.archunit.library.dependencies.SlicesRuleDefinition;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** Checks that the table of dependencies in docs/ARCHITECTURE.md matches the dependencies of the node's packages. */
class PackageDependenciesTest {
    private static final Path PAGE = Path.of("docs/ARCHITECTURE.md");
    private static final String TABLE = "| package | may import |";
    private static final Pattern NAME = Pattern.compile("`([a-z.]+)`");
    private static final String ROOT = "loadbalancer.";

    private static final JavaClasses CLASSES =
            new ClassFileImporter().withImportOption(new DoNotIncludeTests()).importPackages("loadbalancer");

    @Test
    void packagesDependOnWhatThePageLists() throws IOException {
        assertEquals(lines(documented()), lines(imported()));
    }

    @Test
    void packagesHaveNoCycles() {
        SlicesRuleDefinition.slices()
                .matching("loadbalancer.(**)")
                .should()
                .beFreeOfCycles()
                .check(CLASSES);
    }

    private static String lines(Map<String, Set<String>> dependencies) {
        StringBuilder lines = new StringBuilder();
        dependencies.forEach((from, to) ->
                lines.append(from).append(" -> ").append(String.join(", ", to)).append('\n'));
        return lines.toString();
    }

    private static Map<String, Set<String>> documented() throws IOException {
        String page = Files.readString(PAGE);
        assertTrue(page.contains(TABLE), PAGE + " has no table of packages");
        Map<String, Set<String>> dependencies = new TreeMap<>();
        for (String row : page.substring(page.indexOf(TABLE)).split("\n")) {
            String[] cells = row.split("\\|");
            Matcher from = cells.length < 2 ? null : NAME.matcher(cells[1]);
            if (from != null && from.find()) {
                Set<String> to = new TreeSet<>();
                NAME.matcher(cells[2]).results().forEach(name -> to.add(name.group(1)));
                dependencies.put(from.group(1), to);
            }
        }
        return dependencies;
    }

    private static Map<String, Set<String>> imported() {
        Map<String, Set<String>> dependencies = new TreeMap<>();
        for (JavaClass from : CLASSES) {
            if (isNodeType(from)) {
                Set<String> to = dependencies.computeIfAbsent(shortName(from), name -> new TreeSet<>());
                from.getDirectDependenciesFromSelf().stream()
                        .map(dependency -> dependency.getTargetClass().getBaseComponentType())
                        .filter(PackageDependenciesTest::isNodeType)
                        .map(PackageDependenciesTest::shortName)
                        .forEach(to::add);
                to.remove(shortName(from));
            }
        }
        return dependencies;
    }

    private static boolean isNodeType(JavaClass type) {
        String name = type.getPackageName() + ".";
        return name.startsWith(ROOT)
                && !name.equals(ROOT)
                && !name.startsWith(ROOT + "harness.")
                && !name.equals(ROOT + "cli.");
    }

    private static String shortName(JavaClass type) {
        return type.getPackageName().substring(ROOT.length());
    }
}
