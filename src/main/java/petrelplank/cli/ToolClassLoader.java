package petrelplank.cli;

import java.io.File;
import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.net.MalformedURLException;
import java.net.URISyntaxException;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;

/**
 * Runs commands that need more libraries than {@code serve}. Those are in {@code lib/tools}, off the class path: the
 * Java runtime opens every library on the class path at startup, and each would take a file descriptor and memory of
 * the proxy as long as it runs.
 */
final class ToolClassLoader {
    private static final Set<String> COMMANDS_WITHOUT_TOOLS =
            Set.of(Main.SERVE, Main.SIMULATE, Main.SIMULATE_ALIAS, Main.VERSION);
    private static final String[] LIBRARY_DIRECTORIES = {"lib", "lib/tools"};
    /** A resource of a library in {@code lib/tools}; if it is found, those libraries are on the class path. */
    private static final String TOOL_RESOURCE = "/org/apache/avro/Schema.class";

    private ToolClassLoader() {}

    /** Returns whether a command line needs libraries that are not on the class path. */
    static boolean isNeeded(String... args) {
        return needsTools(args) && ToolClassLoader.class.getResource(TOOL_RESOURCE) == null;
    }

    /** Returns whether a command line needs the libraries in {@code lib/tools}. */
    static boolean needsTools(String... args) {
        if (args.length > 0 && !args[0].startsWith("-") && !COMMANDS_WITHOUT_TOOLS.contains(args[0])) {
            return true;
        }
        for (String arg : args) {
            if (optionNeedsTools(arg)) {
                return true;
            }
        }
        return false;
    }

    /** Records, the YAML operator file and JSON log lines need libraries in {@code lib/tools}. */
    private static boolean optionNeedsTools(String arg) {
        return arg.startsWith("--operator") || arg.equals("json") || arg.equals("--log-format=json");
    }

    /**
     * Runs a command line in a class loader that has all libraries.
     *
     * @throws IOException if reading input or writing output fails
     */
    static void run(String... args) throws IOException {
        try {
            ClassLoader loader = new URLClassLoader("tools", classPath(), ClassLoader.getPlatformClassLoader());
            Thread.currentThread().setContextClassLoader(loader);
            loader.loadClass(Main.class.getName())
                    .getMethod("start", String[].class)
                    .invoke(null, (Object) args);
        } catch (InvocationTargetException e) {
            throw asRuntimeException(e.getCause());
        } catch (ReflectiveOperationException | URISyntaxException e) {
            throw new IllegalStateException(e);
        }
    }

    private static RuntimeException asRuntimeException(Throwable cause) throws IOException {
        if (cause instanceof IOException ioException) {
            throw ioException;
        }
        return cause instanceof RuntimeException runtimeException ? runtimeException : new IllegalStateException(cause);
    }

    private static URL[] classPath() throws URISyntaxException, MalformedURLException {
        Path jar = Path.of(
                Main.class.getProtectionDomain().getCodeSource().getLocation().toURI());
        List<URL> urls = new ArrayList<>();
        urls.add(jar.toUri().toURL());
        for (String directory : LIBRARY_DIRECTORIES) {
            for (File library : libraries(jar.resolveSibling(directory).toFile())) {
                urls.add(library.toURI().toURL());
            }
        }
        return urls.toArray(URL[]::new);
    }

    /** Returns the libraries of a directory, sorted so that the class path is the same on every machine. */
    private static File[] libraries(File directory) {
        File[] libraries = directory.listFiles((parent, name) -> name.endsWith(".jar"));
        if (libraries == null) {
            return new File[0];
        }
        Arrays.sort(libraries);
        return libraries;
    }
}
