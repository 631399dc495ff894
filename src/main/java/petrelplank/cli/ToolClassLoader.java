package petrelplank.cli;

import java.io.File;
import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;

/**
 * The libraries that a front on the platform does without stand apart, in {@code lib/tools}: the platform opens every
 * library on its class path at the start, and each would cost a descriptor and memory for good. Commands that need
 * them run in a class loader that has them.
 */
final class ToolClassLoader {
    private static final Set<String> PLAIN = Set.of("serve", "drill", "version");

    private ToolClassLoader() {}

    /** Whether a command line needs more than the class path has. */
    static boolean missing(String... args) {
        List<String> all = Arrays.asList(args);
        boolean plain = args.length == 0 || args[0].startsWith("-") || PLAIN.contains(args[0]);
        boolean more = !plain
                || all.stream()
                        .anyMatch(a -> a.startsWith("--operator") || a.equals("json") || a.equals("--log-format=json"));
        return more && ToolClassLoader.class.getResource("/org/apache/avro/Schema.class") == null;
    }

    /**
     * Runs the command line where all libraries are.
     *
     * @throws IOException when standard output breaks
     */
    static void run(String... args) throws IOException {
        try {
            Path jar = Path.of(Main.class
                    .getProtectionDomain()
                    .getCodeSource()
                    .getLocation()
                    .toURI());
            List<URL> urls = new ArrayList<>(List.of(jar.toUri().toURL()));
            for (String folder : new String[] {"lib", "lib/tools"}) {
                File[] files = jar.resolveSibling(folder).toFile().listFiles((d, n) -> n.endsWith(".jar"));
                Arrays.sort(files == null ? new File[0] : files);
                for (File file : files == null ? new File[0] : files) {
                    urls.add(file.toURI().toURL());
                }
            }
            ClassLoader loader =
                    new URLClassLoader("tools", urls.toArray(URL[]::new), ClassLoader.getPlatformClassLoader());
            Thread.currentThread().setContextClassLoader(loader);
            loader.loadClass(Main.class.getName())
                    .getMethod("start", String[].class)
                    .invoke(null, (Object) args);
        } catch (InvocationTargetException e) {
            if (e.getCause() instanceof IOException io) {
                throw io;
            }
            throw e.getCause() instanceof RuntimeException r ? r : new IllegalStateException(e.getCause());
        } catch (ReflectiveOperationException | java.net.URISyntaxException e) {
            throw new IllegalStateException(e);
        }
    }
}
