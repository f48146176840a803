package kitemux.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/** The command line as people use it: what it prints and how it ends. */
class FleetTest {
    @TempDir
    private Path folder;
    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int run(String... words) {
        CommandLine command = Main.commandLine();
        command.setOut(new PrintWriter(out, true)).setErr(new PrintWriter(err, true));
        return command.execute(words);
    }

    private Path scenario(String text) throws Exception {
        return Files.writeString(folder.resolve("scenario.toml"), text);
    }

    @Test
    void aRunTellsItsOutcomeAsJsonAndTheSameOneEachTime() throws Exception {
        String[] words = {"fleet", "run", "scenarios/calm.toml", "--seed", "3", "--json", "--set",
                "length_s=8"};
        assertEquals(0, run(words));
        JsonNode first = new ObjectMapper().readTree(out.toString());
        out.getBuffer().setLength(0);
        assertEquals(0, run(words));
        assertEquals(first, new ObjectMapper().readTree(out.toString()));
        assertTrue(first.path("kept").asBoolean() && first.path("firstTries").asInt() > 100,
                first.toString());
    }

    @Test
    void aBadScenarioIsToldInFullAndEndsWithTwo() throws Exception {
        Path bad = scenario("name = \"x\"\n[fleet]\nnodes = 0\n[load]\nper_sekond = 3\n");
        assertEquals(2, run("fleet", "run", bad.toString()));
        assertTrue(err.toString().contains("fleet.nodes = 0: must be a number from 1 to 10000"),
                err.toString());
        assertTrue(err.toString().contains("load.per_sekond = 3: is not known (meant: per_second?)"),
                err.toString());
    }

    @Test
    void unknownWordsEndWithTwoAndSuggestTheNearest() {
        assertEquals(2, run("fleet", "comapre"));
        assertTrue(err.toString().contains("Did you mean: fleet compare"), err.toString());
        assertEquals(2, run("fleet", "compare", "scenarios/calm.toml", "--b", "best"));
        assertTrue(err.toString()
                .contains("must be jar:FILE, a node's jar, or one of least-outstanding, module"),
                err.toString());
        assertEquals(2, run("fleet", "hunt", "scenarios/calm.toml", "--seeds", "0"));
        assertTrue(err.toString().contains("--seeds 0: must be at least 1"), err.toString());
    }

    @Test
    void aBrokenRuleEndsWithOneAndTellsHowToPlayItAgain() {
        // Random choice knows of no slow start: with little room cold servers fall over.
        assertEquals(1,
                run("fleet", "hunt", "scenarios/herd.toml", "--policy", "random", "--seeds", "2", "--set",
                "rules.fall_multiple=0.3"));
        assertTrue(out.toString().contains("BROKEN ColdServers"), out.toString());
        assertTrue(out.toString().contains("again: kitemux fleet run scenarios/herd.toml --seed 1 --set"
                + " rules.fall_multiple=0.3"), out.toString());
        assertTrue(out.toString().contains("smallest found in"), out.toString());
    }

    @Test
    void theModuleOfTheNodesJarIsTheModule() {
        assertEquals(0, run("fleet", "compare", "scenarios/calm.toml", "--b", "jar:node/target/kitemux.jar",
                "--seeds", "3", "--set", "length_s=8"));
        assertTrue(out.toString().contains("A - B +0.0000 (95%: +0.0000 to +0.0000)"), out.toString());
    }

    @Test
    void aReportIsOnePageWithoutLinks() throws Exception {
        Path history = folder.resolve("jam.jsonl");
        assertEquals(0, run("fleet", "run", "scenarios/jam.toml", "--history", history.toString(), "--set",
                "length_s=30"));
        Path page = folder.resolve("report.html");
        assertEquals(0, run("fleet", "report", folder.toString(), "--out", page.toString()));
        String html = Files.readString(page);
        assertTrue(html.contains("jam, seed 1, simulated") && html.contains("data:image/png;base64,"));
        assertFalse(html.contains("http"), "links to the outside");
        assertEquals(2, run("fleet", "report", folder.resolve("none").toString()));
    }

    @Test
    void aDayThatIsNoneIsTurnedDown() throws Exception {
        Path day = Files.writeString(folder.resolve("day.json"), "{\"v\":1}");
        assertEquals(2, run("fleet", "import", day.toString()));
        assertTrue(err.toString().contains("is no day"), err.toString());
    }
}
