package petrelplank.cli;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import petrelplank.fastcgi.FastCgiClient;

/** A proxy in a process of its own on loopback, whose processor time {@link RecordingCost} measures. */
final class MeasuredProxy {
    private static final int CONCURRENT_REQUESTS = 16;

    private final Process process;
    private final int port;
    private int nextRequest;

    MeasuredProxy(String jar, Path config, Path operator) throws IOException {
        process = new ProcessBuilder(command(jar, config, operator))
                .redirectErrorStream(true)
                .start();
        // Not closed: the thread that empties it ends with the process.
        BufferedReader log = process.inputReader();
        String line = log.readLine();
        while (!line.contains("serving at")) {
            line = log.readLine();
        }
        port = Integer.parseInt(line.replaceAll(".*127\\.0\\.0\\.1:([0-9]+),.*", "$1"));
        startDaemon(() -> {
            while (log.readLine() != null) {
                Thread.onSpinWait();
            }
        });
    }

    private static List<String> command(String jar, Path config, Path operator) {
        List<String> command = new ArrayList<>(List.of(
                System.getProperty("java.home") + "/bin/java",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xms64m",
                "-Xmx96m",
                "-jar",
                jar,
                "serve",
                "--config",
                config.toString()));
        if (operator != null) {
            command.addAll(List.of("--operator", operator.toString()));
        }
        return command;
    }

    /** Processor time by thread name in microseconds. */
    Map<String, Double> threadTimesUs() throws IOException {
        Map<String, Double> times = new TreeMap<>();
        for (File task : new File("/proc/" + process.pid() + "/task").listFiles()) {
            try {
                String name = Files.readString(task.toPath().resolve("comm"));
                String usedNs =
                        Files.readString(task.toPath().resolve("schedstat")).split(" ")[0];
                times.merge(name.trim(), Long.parseLong(usedNs) / 1000.0, Double::sum);
            } catch (NoSuchFileException e) {
                // The thread has ended meanwhile.
            }
        }
        return times;
    }

    private double totalTimeUs() throws IOException {
        return threadTimesUs().values().stream().mapToDouble(us -> us).sum();
    }

    /** Sends requests and returns the processor time of one in microseconds. */
    double serve(int requests) throws IOException {
        double beforeUs = totalTimeUs();
        try (FastCgiClient client = new FastCgiClient(new InetSocketAddress("127.0.0.1", port))) {
            int sent = 0;
            while (sent < CONCURRENT_REQUESTS) {
                send(client, ++sent);
            }
            for (int answered = 0; answered < requests; answered++) {
                String response = client.readResponse();
                if (!response.contains("Status: 200")) {
                    throw new IOException(response);
                }
                if (sent < requests) {
                    sent++;
                    send(client, Integer.parseInt(response.substring(0, response.indexOf(' '))));
                }
            }
        }
        return (totalTimeUs() - beforeUs) / requests;
    }

    private void send(FastCgiClient client, int id) throws IOException {
        int number = nextRequest++;
        client.sendRequest(
                id,
                "/invoke/media",
                new byte[0],
                "X-Request-Id",
                String.format("%016x", number),
                "X-Timeout-Ms",
                "60000",
                "X-Object",
                String.format("%016x", number % 997),
                "X-N",
                "0",
                "X-Shard",
                "17");
    }

    /** Kills the process and waits for its end. */
    void stop() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    /** Work that ends when its connection is closed. */
    interface Task {
        void run() throws IOException;
    }

    /** Starts a daemon thread. */
    static void startDaemon(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // The proxy has closed the connection.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }
}
