package petrelplank.cli;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Checks that the same seed gives the same ground truth and the same JSON report, byte for byte, in two processes. The
 * iteration order of {@code Map.of} is fixed within a process, so only two processes can show that the output depends
 * on it.
 */
class ReplayTest {
    private static void run(Path folder, String... arguments) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                Main.class.getName()));
        command.addAll(List.of(arguments));
        Process process = new ProcessBuilder(command)
                .directory(folder.toFile())
                .redirectErrorStream(true)
                .redirectOutput(folder.resolve("log").toFile())
                .start();
        if (!process.waitFor(120, TimeUnit.SECONDS)) {
            process.destroyForcibly();
        }
        assertEquals(0, process.exitValue(), () -> arguments[0] + " failed: " + read(folder.resolve("log")));
    }

    private static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            return e.toString();
        }
    }

    @Test
    void theSameSeedGivesTheSameBytesInTwoProcesses(@TempDir Path folder) throws IOException, InterruptedException {
        byte[][] groundTruth = new byte[2][];
        byte[][] report = new byte[2][];
        for (int i = 0; i < 2; i++) {
            Path run = Files.createDirectory(folder.resolve("run" + i));
            run(run, "emulate", "--seed", "901", "--truth", "truth.json", "--records", "records");
            run(run, "report", "records", "--json", "report.json");
            groundTruth[i] = Files.readAllBytes(run.resolve("truth.json"));
            report[i] = Files.readAllBytes(run.resolve("report.json"));
        }
        assertArrayEquals(groundTruth[0], groundTruth[1], "ground truth");
        assertArrayEquals(report[0], report[1], "report");
    }
}
