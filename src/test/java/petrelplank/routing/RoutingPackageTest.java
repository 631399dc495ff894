package petrelplank.routing;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Size limits of the source files of the package. */
class RoutingPackageTest {
    private static final int MAX_LINES = 250;
    private static final int MAX_COLUMNS = 120;

    /** Keeps each file short enough to be read in one go. */
    @Test
    void everyFileOfThePackageIsShort() throws IOException {
        List<Path> files = sourceFiles();
        assertTrue(files.size() > 1, "expected the source files of the package, found " + files);
        for (Path file : files) {
            List<String> lines = Files.readAllLines(file);
            assertTrue(lines.size() <= MAX_LINES, file + " has " + lines.size() + " lines, the limit is " + MAX_LINES);
            assertTrue(
                    lines.stream().allMatch(line -> line.length() <= MAX_COLUMNS),
                    file + " has a line of more than " + MAX_COLUMNS + " columns");
        }
    }

    private static List<Path> sourceFiles() throws IOException {
        try (Stream<Path> files = Files.list(Path.of("src/main/java/petrelplank/routing"))) {
            return files.filter(file -> file.toString().endsWith(".java")).toList();
        }
    }
}
