package petrelplank.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/**
 * Measures what recording costs: processor time per request of two proxies, one with records and one without. They run
 * as processes of their own on loopback and serve short rounds in turn, so that both see the same machine. Arguments:
 * the built jar, rounds, requests a round. See docs/measurements.md.
 */
final class RecordingCost {
    private static final int BODY_BYTES = 8_192;
    private static final int WARMUP_REQUESTS = 30_000;
    private static final double MIN_PRINTED_US = 0.5;
    private static final String[] LABELS = {"off", "on"};

    private final MeasuredProxy[] proxies;
    private final int rounds;
    private final int requests;
    private final double[] meanUs = new double[LABELS.length];
    private final double[] ratios;

    private RecordingCost(MeasuredProxy[] proxies, int rounds, int requests) {
        this.proxies = proxies;
        this.rounds = rounds;
        this.requests = requests;
        this.ratios = new double[rounds];
    }

    public static void main(String[] args) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("recording-cost");
        Path config = folder.resolve("config.json");
        Files.writeString(config, config(startCache()));
        Path operator = folder.resolve("operator.yaml");
        Files.writeString(operator, "records:\n  on: true\n  directory: " + folder.resolve("records") + "\n");
        MeasuredProxy[] proxies = {
            new MeasuredProxy(args[0], config, null), new MeasuredProxy(args[0], config, operator)
        };
        try {
            new RecordingCost(proxies, Integer.parseInt(args[1]), Integer.parseInt(args[2])).run();
        } finally {
            for (MeasuredProxy proxy : proxies) {
                proxy.stop();
            }
        }
    }

    private void run() throws IOException {
        for (MeasuredProxy proxy : proxies) {
            proxy.serve(WARMUP_REQUESTS);
        }
        List<Map<String, Double>> before = List.of(proxies[0].threadTimesUs(), proxies[1].threadTimesUs());
        for (int round = 0; round < rounds; round++) {
            measure(round);
        }
        for (int proxy = 0; proxy < proxies.length; proxy++) {
            printThreads(LABELS[proxy], before.get(proxy), proxies[proxy].threadTimesUs());
        }
        printSummary();
    }

    /** A round of each proxy; which one comes first alternates. */
    private void measure(int round) throws IOException {
        double[] roundUs = new double[proxies.length];
        for (int turn = 0; turn < proxies.length; turn++) {
            int proxy = (round + turn) % proxies.length;
            roundUs[proxy] = proxies[proxy].serve(requests);
            meanUs[proxy] += roundUs[proxy] / rounds;
        }
        ratios[round] = roundUs[1] / roundUs[0];
    }

    private void printThreads(String label, Map<String, Double> before, Map<String, Double> after) {
        StringBuilder line = new StringBuilder("  " + label + ":");
        after.forEach((thread, us) -> {
            double perRequestUs = (us - before.getOrDefault(thread, 0.0)) / requests / rounds;
            if (perRequestUs > MIN_PRINTED_US) {
                line.append(String.format(" %s %.1f us", thread, perRequestUs));
            }
        });
        System.out.println(line);
    }

    private void printSummary() {
        Arrays.sort(ratios);
        System.out.printf(
                "%d rounds of %d requests: off %.1f us, on %.1f us in the mean; ratio of a round %.3f in "
                        + "the middle, a tenth below %.3f, a tenth above %.3f%n",
                rounds,
                requests,
                meanUs[0],
                meanUs[1],
                ratios[rounds / 2],
                ratios[rounds / 10],
                ratios[rounds - 1 - rounds / 10]);
    }

    private static String config(String cache) {
        return "{\"name\":\"n1\",\"listen\":\"127.0.0.1:0\",\"seed\":\"8c1f30d27a5be964\",\"limits\":"
                + "{\"sockets\":256,\"memory_mb\":128},\"coordinator\":\"127.0.0.1:9\",\"known\":{\"index\":1,\"updates\":"
                + "[{\"index\":1,\"endpoints\":{\"instances\":[" + endpoint("c-1", cache, "edge-1", "box") + ","
                + endpoint("p-1", cache, "north", "parent") + "," + endpoint("o-1", cache, "north", "origin")
                + "]}}]},\"settings\":" + LoopbackFixture.SETTINGS + "}";
    }

    private static String endpoint(String id, String address, String zone, String kind) {
        return "{\"instanceId\":\"" + id + "\",\"hostPort\":\"" + address + "\",\"zone\":\"" + zone
                + "\",\"machineType\":\"" + kind
                + "\",\"cell\":0,\"lifecycle\":\"active\",\"weight\":1000,\"startedAtMs\":0}";
    }

    /** Starts a cache that has every object, and returns its address. */
    private static String startCache() throws IOException {
        ServerSocket listener = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
        MeasuredProxy.startDaemon(() -> {
            while (true) {
                Socket socket = listener.accept();
                MeasuredProxy.startDaemon(() -> answerFetches(socket));
            }
        });
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private static void answerFetches(Socket socket) throws IOException {
        byte[] body = ("x".repeat(BODY_BYTES) + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
        OutputStream out = socket.getOutputStream();
        BufferedReader in =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            if (line.startsWith("fetch ")) {
                String header = line.split(" ")[1] + " ACK ver=1,born=1764576000000,tell=HIT,meter=concurrent:3 "
                        + BODY_BYTES + "\r\n";
                out.write(header.getBytes(StandardCharsets.ISO_8859_1));
                out.write(body);
            }
        }
    }
}
