package petrelplank.cli;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import petrelplank.fastcgi.FcgiClient;

/**
 * What recording costs: processor time of real fronts for each request, one with records and one without, as processes of
 * their own on loopback that are asked in turn, a few requests each, so that both see the same machine. Arguments: the built jar, rounds, requests a round. See docs/measurements.md.
 */
final class RecordingCost {
    private static final int BYTES = 8_192;
    private static final int OPEN = 16;
    private static final int WARM = 30_000;

    private RecordingCost() {}

    public static void main(String[] args) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("recording-cost");
        String cache = cache();
        Path config = folder.resolve("config.json");
        Files.writeString(
                config,
                "{\"name\":\"n1\",\"listen\":\"127.0.0.1:0\",\"seed\":\"8c1f30d27a5be964\",\"limits\":"
                        + "{\"sockets\":256,\"memory_mb\":128},\"coordinator\":\"127.0.0.1:9\",\"known\":{\"index\":1,\"updates\":"
                        + "[{\"index\":1,\"endpoints\":{\"instances\":[" + entry("c-1", cache, "edge-1", "box") + ","
                        + entry("p-1", cache, "north", "parent") + "," + entry("o-1", cache, "north", "origin")
                        + "]}}]},\"settings\":" + LoopbackFixture.SETTINGS + "}");
        Path operator = folder.resolve("operator.yaml");
        Files.writeString(operator, "records:\n  on: true\n  directory: " + folder.resolve("records") + "\n");
        int rounds = Integer.parseInt(args[1]);
        int requests = Integer.parseInt(args[2]);
        Front[] fronts = {new Front(args[0], config, null), new Front(args[0], config, operator)};
        try {
            for (Front front : fronts) {
                front.ask(WARM);
            }
            double[] ratio = new double[rounds];
            List<Map<String, Double>> first = List.of(fronts[0].threads(), fronts[1].threads());
            double[] all = new double[2];
            for (int i = 0; i < rounds; i++) {
                double[] us = new double[2];
                for (int turn = 0; turn < 2; turn++) {
                    int on = (i + turn) % 2;
                    us[on] = fronts[on].ask(requests);
                    all[on] += us[on] / rounds;
                }
                ratio[i] = us[1] / us[0];
            }
            for (int on = 0; on < 2; on++) {
                StringBuilder line = new StringBuilder(on == 0 ? "  off:" : "  on:");
                Map<String, Double> before = first.get(on);
                fronts[on].threads().forEach((name, us) -> {
                    double each = (us - before.getOrDefault(name, 0.0)) / requests / rounds;
                    line.append(each > 0.5 ? String.format(" %s %.1f us", name, each) : "");
                });
                System.out.println(line);
            }
            Arrays.sort(ratio);
            System.out.printf(
                    "%d rounds of %d requests: off %.1f us, on %.1f us in the mean; ratio of a round %.3f in "
                            + "the middle, a tenth below %.3f, a tenth above %.3f%n",
                    rounds,
                    requests,
                    all[0],
                    all[1],
                    ratio[rounds / 2],
                    ratio[rounds / 10],
                    ratio[rounds - 1 - rounds / 10]);
        } finally {
            for (Front front : fronts) {
                front.process.destroyForcibly().waitFor();
            }
        }
    }

    private static String entry(String id, String at, String zone, String kind) {
        return "{\"instanceId\":\"" + id + "\",\"hostPort\":\"" + at + "\",\"zone\":\"" + zone + "\",\"machineType\":\""
                + kind + "\",\"cell\":0,\"lifecycle\":\"active\",\"weight\":1000,\"startedAtMs\":0}";
    }

    /** A cache that has everything. */
    private static String cache() throws IOException {
        ServerSocket listener = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
        byte[] body = (new String(new char[BYTES]).replace('\0', 'x') + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
        daemon(() -> {
            while (true) {
                Socket socket = listener.accept();
                daemon(() -> {
                    OutputStream out = socket.getOutputStream();
                    BufferedReader in = new BufferedReader(
                            new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
                    for (String line = in.readLine(); line != null; line = in.readLine()) {
                        if (line.startsWith("fetch ")) {
                            out.write((line.split(" ")[1] + " ACK ver=1,born=1764576000000,tell=HIT,meter=concurrent:3 "
                                            + BYTES + "\r\n")
                                    .getBytes(StandardCharsets.ISO_8859_1));
                            out.write(body);
                        }
                    }
                });
            }
        });
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private interface Work {
        void run() throws IOException;
    }

    private static void daemon(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException e) {
                // the front has closed it
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** A front in a process of its own. */
    private static final class Front {
        private final Process process;
        private final int port;
        private int next;

        Front(String jar, Path config, Path operator) throws IOException {
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
            process = new ProcessBuilder(command).redirectErrorStream(true).start();
            // Not closed: the thread that empties it ends with the process.
            BufferedReader log = process.inputReader();
            String line = log.readLine();
            while (!line.contains("serving at")) {
                line = log.readLine();
            }
            port = Integer.parseInt(line.replaceAll(".*127\\.0\\.0\\.1:([0-9]+),.*", "$1"));
            daemon(() -> {
                while (log.readLine() != null) {
                    Thread.onSpinWait();
                }
            });
        }

        /** Processor time by thread in microseconds. */
        Map<String, Double> threads() throws IOException {
            Map<String, Double> all = new TreeMap<>();
            for (File task : new File("/proc/" + process.pid() + "/task").listFiles()) {
                try {
                    String name =
                            Files.readString(task.toPath().resolve("comm")).trim();
                    String used =
                            Files.readString(task.toPath().resolve("schedstat")).split(" ")[0];
                    all.merge(name, Long.parseLong(used) / 1000.0, Double::sum);
                } catch (NoSuchFileException e) {
                    // the thread has ended meanwhile
                }
            }
            return all;
        }

        /** Asks, and tells the processor time of a request in microseconds. */
        double ask(int requests) throws IOException {
            double before = threads().values().stream().mapToDouble(us -> us).sum();
            try (FcgiClient client = new FcgiClient(new InetSocketAddress("127.0.0.1", port))) {
                int sent = 0;
                while (sent < OPEN) {
                    RecordingCost.ask(client, ++sent, next++);
                }
                for (int answered = 0; answered < requests; answered++) {
                    String answer = client.answer();
                    if (!answer.contains("Status: 200")) {
                        throw new IOException(answer);
                    }
                    if (sent < requests) {
                        sent++;
                        RecordingCost.ask(client, Integer.parseInt(answer.substring(0, answer.indexOf(' '))), next++);
                    }
                }
            }
            return (threads().values().stream().mapToDouble(us -> us).sum() - before) / requests;
        }
    }

    private static void ask(FcgiClient client, int id, int number) throws IOException {
        client.ask(
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
}
