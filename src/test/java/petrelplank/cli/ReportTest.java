package petrelplank.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.kohsuke.args4j.CmdLineException;

/** Tests the commands {@code emulate} and {@code report}, with valid and invalid arguments. */
class ReportTest {
    @TempDir
    Path folder;

    private static int run(Object... args) throws IOException, CmdLineException {
        return Main.parse(Arrays.stream(args).map(Object::toString).toArray(String[]::new))
                .run();
    }

    @Test
    void reportFindsTheEmulatedIncident() throws IOException, CmdLineException {
        Path records = folder.resolve("records");
        Path truth = folder.resolve("truth.json");
        assertEquals(0, run("emulate", "--records", records, "--truth", truth));
        Path page = folder.resolve("report.html");
        Path json = folder.resolve("report.json");
        assertEquals(0, run("report", records, "--out", page, "--json", json));
        JsonNode report = new ObjectMapper().readTree(json.toFile());
        assertEquals("silent-hub", report.at("/findings/0/kind").asText());
        assertEquals(new ObjectMapper().readTree(truth.toFile()).at("/total/asked"), report.at("/total/asked"));
        String html = Files.readString(page);
        assertTrue(html.contains("Silent hub: <a href=\"#hub-box-1_hub2\">hub-box-1.hub2</a>"));
        // The page can be viewed offline: it contains no scripts and loads nothing.
        assertFalse(html.contains("<script") || html.contains("src=") || html.contains("@import"));
        assertFalse(
                html.replaceAll("xmlns(:[a-z]+)?=['\"][^'\"]*['\"]", "").contains("http"), "the page contains a URL");
        assertEquals(2, run("emulate", "--records", records), "existing records must not be overwritten");
    }

    @Test
    void sameSeedGivesTheSameBytes() throws IOException, CmdLineException {
        List<Map<String, String>> filesByRun = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Path records = folder.resolve("records" + i);
            assertEquals(
                    0,
                    run(
                            "emulate",
                            "restart",
                            "--seed",
                            i / 2 + 7,
                            "--records",
                            records,
                            "--truth",
                            records.resolveSibling("truth" + i)));
            assertEquals(0, run("report", records, "--out", folder.resolve("page" + i)));
            Map<String, String> files = new TreeMap<>();
            try (Stream<Path> all = Files.list(records)) {
                for (Path file : all.toList()) {
                    files.put(file.getFileName().toString(), Files.readString(file, StandardCharsets.ISO_8859_1));
                }
            }
            files.put("page", Files.readString(folder.resolve("page" + i)));
            files.put("truth", Files.readString(folder.resolve("truth" + i)));
            filesByRun.add(files);
        }
        assertEquals(10, filesByRun.get(0).size());
        assertTrue(filesByRun.get(0).equals(filesByRun.get(1)), "two runs with the same seed differ");
        assertFalse(filesByRun.get(0).equals(filesByRun.get(2)), "runs with different seeds are identical");
    }

    @Test
    void unusableArgumentsAreReportedWithTheirStatus() throws IOException, CmdLineException {
        assertEquals(2, run("emulate", "no-such-scenario"));
        Path invalidScenario = folder.resolve("bad.yaml");
        Files.writeString(invalidScenario, "name: x\ntroubles:\n  - kind: silent\n    servers: [box-9.branch9]\n");
        assertEquals(2, run("emulate", invalidScenario));
        assertEquals(2, run("report", folder.resolve("nowhere")));
        Path file = Files.writeString(folder.resolve("file"), "");
        assertEquals(2, run("emulate", "calm", "--records", file));
        assertEquals(2, run("emulate", "calm", "--truth", folder.resolve("no/such/truth.json")));
        assertEquals(2, run("emulate", folder));
        assertEquals(2, run("report", folder, "--out", folder));
        assertEquals(2, run("report", folder, "--json", folder.resolve("no/such/report.json")));
        Path empty = Files.createDirectory(folder.resolve("empty"));
        assertEquals(2, run("report", empty));
    }

    @Test
    void otherFilesAreSkippedWithIncompleteStatus() throws IOException, CmdLineException {
        Path records = folder.resolve("records");
        assertEquals(0, run("emulate", "calm", "--records", records));
        Files.writeString(records.resolve("notes.txt"), "not a record file");
        File json = folder.resolve("report.json").toFile();
        assertEquals(3, run("report", records, "--json", json));
        JsonNode report = new ObjectMapper().readTree(json);
        assertTrue(report.at("/troubles/0").asText().contains("notes.txt: not a readable record file"));
        assertEquals(0, report.at("/findings").size());
        assertEquals(0, run("scenarios"));
    }
}
