package petrelplank.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.kohsuke.args4j.CmdLineException;

class CommandLineTest {
    /** args4j makes commands by reflection: one that is not public ended every start. */
    @Test
    void everySubCommandCanBeMade() throws CmdLineException {
        assertInstanceOf(ServeCommand.class, Main.command("serve"));
        assertInstanceOf(SimulateCommand.class, Main.command("drill"));
        assertInstanceOf(VersionCommand.class, Main.command("version"));
        assertInstanceOf(EmulateCommand.class, Main.command("emulate"));
        assertInstanceOf(ReportCommand.class, Main.command("report", "DIR"));
        assertInstanceOf(ScenariosCommand.class, Main.command("scenarios"));
        for (String name : new String[] {"serve", "drill", "version", "emulate", "report", "scenarios"}) {
            assertTrue(((BaseCommand) Main.command(name, "--help")).help(), name);
        }
    }

    /** One would silently leave the other out. */
    @Test
    void traceAndRecordsTogetherAreTurnedDown() {
        CmdLineException e = assertThrows(
                CmdLineException.class, () -> Main.command("serve", "--trace", "--operator", "operator.yaml"));
        assertTrue(e.getMessage().contains("--trace") && e.getMessage().contains("--operator"), e.getMessage());
    }

    @Test
    void unusableConfigurationEndsServeWithStatusTwo(@TempDir Path folder) throws IOException, CmdLineException {
        Path file = folder.resolve("config.json");
        for (String text : new String[] {"", "{", "[]", "{\"limits\":{}}", "{\"limits\":3}"}) {
            Files.writeString(file, text);
            assertEquals(2, Main.command("serve", "--config", file.toString()).run(), text);
        }
        assertEquals(
                2,
                Main.command("serve", "--config", folder.resolve("none").toString())
                        .run());
    }
}
