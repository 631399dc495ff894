package petrelplank.routing;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The package as a whole. */
class RoutingPackageTest {
    private static final int MAX_LINES = 250;
    private static final int MAX_COLUMNS = 120;

    /** Each concern stays short enough to be read at once. */
    @Test
    void everyFileOfThePackageIsShort() throws IOException {
        List<Path> files = sourceFiles();
        assertTrue(files.size() > 1, "found " + files);
        for (Path file : files) {
            List<String> lines = Files.readAllLines(file);
            assertTrue(lines.size() <= MAX_LINES, file + " has " + lines.size() + " lines");
            assertTrue(lines.stream().allMatch(line -> line.length() <= MAX_COLUMNS), file + " has a long line");
        }
    }

    private static List<Path> sourceFiles() throws IOException {
        try (Stream<Path> files = Files.list(Path.of("src/main/java/petrelplank/routing"))) {
            return files.filter(file -> file.toString().endsWith(".java")).toList();
        }
    }
}
