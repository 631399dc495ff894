package petrelplank.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.kohsuke.args4j.CmdLineException;

/** Tests the sub-commands, their options and their exit statuses. */
class CommandLineTest {
    /** args4j creates commands by reflection: when a command class was not public, no command could be started. */
    @Test
    void everySubCommandCanBeCreated() throws CmdLineException {
        assertInstanceOf(ServeCommand.class, Main.parse("serve"));
        assertInstanceOf(SimulateCommand.class, Main.parse("simulate"));
        assertInstanceOf(SimulateCommand.class, Main.parse("drill"));
        assertInstanceOf(VersionCommand.class, Main.parse("version"));
        assertInstanceOf(EmulateCommand.class, Main.parse("emulate"));
        assertInstanceOf(ReportCommand.class, Main.parse("report", "DIR"));
        assertInstanceOf(ScenariosCommand.class, Main.parse("scenarios"));
        for (String name : new String[] {"serve", "simulate", "drill", "version", "emulate", "report", "scenarios"}) {
            assertTrue(Main.parse(name, "--help").helpRequested(), name);
        }
    }

    @Test
    void helpListsEverySubCommandButNotTheAlias() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        Main.printHelp(new PrintStream(out, true, StandardCharsets.UTF_8));
        String help = out.toString(StandardCharsets.UTF_8).replaceAll("\\s+", " ");
        for (String name : new String[] {"serve", "simulate", "version", "emulate", "report", "scenarios"}) {
            assertTrue(help.contains(" " + name + ": "), help);
        }
        assertFalse(help.contains("drill"), help);
    }

    @Test
    void proxyAndSimulatorCommandsNeedNoToolLibraries() {
        for (String name : new String[] {"serve", "simulate", "drill", "version", "--help"}) {
            assertFalse(ToolClassLoader.needsTools(name), name);
        }
        assertFalse(ToolClassLoader.needsTools());
        for (String name : new String[] {"emulate", "report", "scenarios"}) {
            assertTrue(ToolClassLoader.needsTools(name), name);
        }
        assertTrue(ToolClassLoader.needsTools("serve", "--operator", "operator.yaml"));
        assertTrue(ToolClassLoader.needsTools("serve", "--log-format", "json"));
        assertTrue(ToolClassLoader.needsTools("simulate", "--log-format=json"));
        assertFalse(ToolClassLoader.needsTools("serve", "--log-format", "text"));
    }

    @Test
    void logFormatOptionValuesAreLowerCase() throws CmdLineException {
        assertEquals(LogFormat.TEXT, Main.parse("version").logFormat());
        assertEquals(
                LogFormat.TEXT, Main.parse("version", "--log-format", "text").logFormat());
        assertEquals(
                LogFormat.JSON, Main.parse("version", "--log-format", "json").logFormat());
        assertThrows(CmdLineException.class, () -> Main.parse("version", "--log-format", "xml"));
    }

    /** If both were accepted, one of them would silently have no effect. */
    @Test
    void traceAndRecordsTogetherAreRejected() {
        CmdLineException rejection = assertThrows(
                CmdLineException.class, () -> Main.parse("serve", "--trace", "--operator", "operator.yaml"));
        String message = rejection.getMessage();
        assertTrue(message.contains("--trace") && message.contains("--operator"), message);
    }

    @Test
    void unusableConfigurationEndsServeWithStatusTwo(@TempDir Path directory) throws IOException, CmdLineException {
        Path file = directory.resolve("config.json");
        for (String text : new String[] {"", "{", "[]", "{\"limits\":{}}", "{\"limits\":3}"}) {
            Files.writeString(file, text);
            assertEquals(2, Main.parse("serve", "--config", file.toString()).run(), text);
        }
        assertEquals(
                2,
                Main.parse("serve", "--config", directory.resolve("none").toString())
                        .run());
    }
}
