package petrelplank.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Real processes of {@code serve}, each with a small heap, its own configuration and log, started at once. The
 * addresses they serve at come from their logs. Ended by SIGTERM, and by SIGKILL after 10 s.
 */
final class FrontProcesses implements AutoCloseable {
    private static final Pattern SERVING = Pattern.compile("serving at /([0-9.]+):(\\d+)");
    private final List<Process> processes = new ArrayList<>();
    private final List<Path> logs = new ArrayList<>();

    /**
     * Starts {@code n} fronts.
     *
     * @param folder for configurations and logs
     * @param n how many
     * @param coordinator where the fronts find the coordinator, a relay in between as the test wants
     * @param instances the JSON array of the list that each front is told at its start
     */
    FrontProcesses(Path folder, int n, String coordinator, String instances) throws IOException {
        this(folder, n, coordinator, instances, List.of());
    }

    /**
     * As above, with {@code launcher} before each front's own command line; it has to end by exec.
     */
    FrontProcesses(Path folder, int n, String coordinator, String instances, List<String> launcher) throws IOException {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        for (int i = 0; i < n; i++) {
            Path config = folder.resolve("front-" + i + ".json");
            String settings = LoopbackFixture.SETTINGS
                    .replace("\"balancers\":1", "\"balancers\":" + n)
                    .replace("\"self-index\":0", "\"self-index\":" + i);
            Files.writeString(
                    config,
                    "{\"name\":\"n" + i + "\",\"listen\":\"127.0.0.1:0\",\"seed\":\""
                            + String.format("%016x", 0x9e3779b97f4a7c15L * (i + 1)) + "\",\"limits\":{\"cores\":1.0,"
                            + "\"memory_mb\":96,\"sockets\":256},\"coordinator\":\"" + coordinator
                            + "\",\"known\":{\"index\":1,"
                            + "\"updates\":[{\"index\":1,\"endpoints\":{\"instances\":" + instances
                            + "}}]},\"settings\":"
                            + settings + "}");
            Path log = folder.resolve("front-" + i + ".log");
            logs.add(log);
            List<String> command = new ArrayList<>(launcher);
            command.addAll(List.of(
                    java,
                    "-Xmx48m",
                    "-Xss256k",
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-Djava.net.preferIPv4Stack=true",
                    "-cp",
                    System.getProperty("java.class.path"),
                    Main.class.getName(),
                    "serve",
                    "--config",
                    config.toString()));
            processes.add(new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(log.toFile())
                    .start());
        }
    }

    /** Where each front serves, once all are ready; fails after {@code patienceMs}. */
    List<InetSocketAddress> ready(long patienceMs) throws IOException, InterruptedException {
        long until = System.nanoTime() + patienceMs * 1_000_000;
        List<InetSocketAddress> at = new ArrayList<>();
        for (int i = 0; i < logs.size(); i++) {
            while (true) {
                Matcher m = SERVING.matcher(Files.readString(logs.get(i)));
                if (m.find()) {
                    at.add(new InetSocketAddress(m.group(1), Integer.parseInt(m.group(2))));
                    break;
                }
                if (!processes.get(i).isAlive() || System.nanoTime() > until) {
                    throw new AssertionError("front " + i + " not ready: " + Files.readString(logs.get(i)));
                }
                Thread.sleep(50);
            }
        }
        return at;
    }

    /** The log of front {@code i} so far. */
    String log(int i) throws IOException {
        return Files.readString(logs.get(i));
    }

    /** The process of front {@code i}. */
    long pid(int i) {
        return processes.get(i).pid();
    }

    /** Front {@code i} itself. */
    Process process(int i) {
        return processes.get(i);
    }

    /** Whether every front still runs. */
    boolean allAlive() {
        return processes.stream().allMatch(Process::isAlive);
    }

    @Override
    public void close() {
        processes.forEach(Process::destroy);
        for (Process p : processes) {
            try {
                if (!p.waitFor(10, TimeUnit.SECONDS)) {
                    p.destroyForcibly();
                }
            } catch (InterruptedException e) {
                p.destroyForcibly();
                Thread.currentThread().interrupt();
            }
        }
    }
}
