package petrelplank.yaml;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import petrelplank.record.OperatorRecords;
import petrelplank.record.RecordSettings;

/** Defaults and units of YAML values; every parse error names the file, line, column and what is wrong. */
class YamlTest {
    private static RecordSettings parseOperatorFile(String text) {
        Section file = Yaml.read("operator.yaml", text.replace("|", "\n"));
        RecordSettings settings = OperatorRecords.read(file.section("records"));
        file.done();
        return settings;
    }

    @Test
    void absentKeysHaveDefaultsAndValuesTheirUnits() {
        RecordSettings settings =
                parseOperatorFile("records:|  on: true|  directory: here|  file-size: 1MiB|  flush: 1.5s");
        assertEquals(Path.of("here"), settings.directory());
        assertEquals(1 << 20, settings.fileBytes());
        assertEquals(1_500_000, settings.flushUs());
        assertEquals(16_384, settings.queued());
        assertEquals(null, parseOperatorFile("records:|  on: false"));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            value = {
                "records:|  on: yes please;operator.yaml:2:7: records.on: should be one of false, true, found yes please",
                "records:|  on: true;operator.yaml:2:3: records.directory: is required when records are on",
                "records:|  onn: true;operator.yaml:2:3: records.onn: is not a known key",
                "recods:|  on: true;operator.yaml:1:1: recods: is not a known key",
                "records: on;operator.yaml:1:10: records: should be a mapping, found a list or a single value",
                "records:|  queue: 4;operator.yaml:2:10: records.queue: should be from 16 to 1048576, found 4",
                "records:|  queue: four;operator.yaml:2:10: records.queue: should be a whole number, found four",
                "records:|  queue: 99999999999999999999;operator.yaml:2:10: records.queue: should be a whole number, found "
                        + "99999999999999999999",
                "records:|  flush: 5;operator.yaml:2:10: records.flush: should be a duration such as 500ms, 2s or 10min, found 5",
                "records:|  flush: 1us;operator.yaml:2:10: records.flush: should be from 10.0 to 60000.0 ms, found 0.001",
                "records:|  file-size: 16MB;operator.yaml:2:14: records.file-size: should be a size such as 64KiB or 16MiB, "
                        + "found 16MB",
                "records:|  total-size: 1MiB;operator.yaml:2:15: records.total-size: should be at least twice file-size",
                "records:|  on: [true];operator.yaml:2:7: records.on: should be a word, found a nested mapping or list",
                "records: &a|  on: true;operator.yaml:1:10: anchors and aliases are not allowed",
                "a: 1|---|b: 2;operator.yaml:3:1: found a second document, expected one",
            })
    void errorNamesItsPositionAndProblem(String text, String message) {
        assertEquals(
                message,
                assertThrows(YamlException.class, () -> parseOperatorFile(text)).getMessage());
    }

    @Test
    void invalidOrTooLongOrTooDeepYamlIsRejected(@TempDir Path directory) throws IOException {
        for (String invalid :
                new String[] {"", "a: 1\na: 2", "a: [1", "\ta: 1", "a: &x [*x]", "a: *x", "[".repeat(60)}) {
            String message = assertThrows(YamlException.class, () -> Yaml.read("f.yaml", invalid), invalid)
                    .getMessage();
            assertTrue(message.matches("f\\.yaml:[0-9]+:[0-9]+: .+"), message);
        }
        Path large = directory.resolve("large.yaml");
        Files.writeString(large, "a: " + "x".repeat(Yaml.MAX_BYTES));
        assertTrue(assertThrows(YamlException.class, () -> Yaml.read(large))
                .getMessage()
                .contains("longer than"));
    }
}
