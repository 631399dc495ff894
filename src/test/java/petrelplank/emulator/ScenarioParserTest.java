package petrelplank.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import petrelplank.yaml.Yaml;
import petrelplank.yaml.YamlException;

class ScenarioParserTest {
    private static Scenario parse(String text) {
        return Scenario.of(Yaml.read("file.yaml", text));
    }

    private static void assertRejected(String text, String positionAndMessage) {
        YamlException exception = assertThrows(YamlException.class, () -> parse(text));
        assertEquals("file.yaml:" + positionAndMessage, exception.getMessage());
    }

    @Test
    void missingKeysGetDefaultValues() {
        Scenario scenario = parse("name: small\n");
        assertEquals("small", scenario.title());
        assertEquals(40_000_000, scenario.lengthUs());
        assertEquals(new Topology(3, 2, 4, 3, 1), scenario.topology());
        assertEquals(new Workload(300, 4_000, 32, 1, 0.5), scenario.workload());
        assertEquals(new Capacity(24 << 20, 96 << 20, 6, 16, 12, 200, 40_000), scenario.capacity());
        assertEquals(0, scenario.clockSpreadUs());
        assertEquals(List.of(), scenario.faults());
    }

    @Test
    void faultDefaultsDependOnTheKind() {
        Scenario scenario = parse("name: faults\nlength: 20s\ntroubles:\n  - servers: [hub-box-1.hub2]\n"
                + "  - kind: slow-stock\n    at: 3s\n    for: 2s\n");
        assertEquals(
                List.of(
                        new Fault(FaultKind.SILENT, 5_000_000, 5_000_000, List.of("hub-box-1.hub2"), 1),
                        new Fault(FaultKind.SLOW_ORIGIN, 3_000_000, 2_000_000, List.of(), 5)),
                scenario.faults());
    }

    @Test
    void errorMessageNamesPositionAndRule() {
        assertRejected("title: none\n", "1:1: name: is missing");
        assertRejected("name: a\nother: 1\n", "2:1: other: is not a known key");
        assertRejected("name: a\nbranches: 0\n", "2:11: branches: should be from 1 to 200, found 0");
        assertRejected(
                "name: a\ncentral-time: 1h\n", "2:15: central-time: should be from 0.1 to 60000.0 ms, found 3600000.0");
    }

    @Test
    void errorMessageOfAFaultNamesPositionAndRule() {
        String fault = "name: a\nlength: 10s\ntroubles:\n  - kind: ";
        assertRejected(
                fault + "silent\n    servers: [box-9.branch1]\n",
                "5:14: troubles[0].servers: expected a server, proxy or edge zone of this topology, "
                        + "found box-9.branch1");
        assertRejected(
                fault + "silent\n",
                "4:5: troubles[0].servers: expected at least one name for this kind of fault, found none");
        assertRejected(
                fault + "purge\n    servers: [box-1.branch1]\n",
                "5:14: troubles[0].servers: expected no names for this kind of fault, found at least one");
        assertRejected(fault + "purge\n    share: 2\n", "5:12: troubles[0].share: should be from 0.0 to 1.0, found 2");
        assertRejected(
                fault + "purge\n    at: 11s\n", "5:9: troubles[0].at: should be from 0.0 to 10000.0 ms, found 11000.0");
    }

    @Test
    void aliasesOfBundledScenariosResolve() throws IOException {
        assertEquals(Scenario.of("silent-parent"), Scenario.of("silent-hub"));
        assertEquals(Scenario.of("slow-origin"), Scenario.of("slow-stock"));
        assertEquals(Scenario.of("stopped-origin"), Scenario.of("stock-over"));
    }

    @Test
    void allBundledScenariosAreValid() throws IOException {
        for (String name : BundledScenarios.all()) {
            assertEquals(name, Scenario.of(name).name());
        }
    }
}
