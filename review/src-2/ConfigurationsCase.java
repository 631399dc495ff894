import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * New configurations in quick succession, each with a SIGHUP, move discovery twice. The fronts have to follow the
 * coordinator of the last one.
 */
final class ConfigurationsCase {
    private static final int FRONTS = 4;
    private static final int OTHER_NODES = 3_000;
    private static final int ROUNDS = 20;
    /** Pause between two configurations; the two commands that put the second in place come on top. */
    private static final int GAP_MS = Integer.getInteger("gap", 5);
    private static final long TOLD_AT_LATEST_MS = 7_000;
    private static final long STOP_SENDING_WITHIN_MS = 1_000;
    private static final long SLACK_MS = 50;
    private static final long AFTERWARDS_MS = 4_000;

    public static void main(String[] args) {
        Lab.main(args, ConfigurationsCase::run);
    }

    private static boolean run(Lab lab) throws Exception {
        AtomicLong leavingSinceMs = new AtomicLong(Long.MAX_VALUE / 2);
        long graceMs = TOLD_AT_LATEST_MS + STOP_SENDING_WITHIN_MS + SLACK_MS;
        AtomicInteger late = new AtomicInteger();
        Lab.Handler hit = command -> {
            long afterMs = command.firstByteMs() - leavingSinceMs.get();
            if (command.node().id.equals("c-1") && afterMs > graceMs && late.incrementAndGet() % 20 == 1) {
                lab.note("c-1 was sent request " + command.id() + " " + afterMs
                        + " ms after the coordinator had it as leaving");
            }
            command.answer("ACK", "tell=HIT,ver=aa01,born=" + (Lab.now() - 1000),
                    Lab.content(command.fields().get("item"), command.fields().get("chunk"), 2_000));
        };
        Lab.CacheNode leaving = new Lab.CacheNode("c-1", 50, hit);
        Lab.CacheNode staying = new Lab.CacheNode("c-2", 50, hit);
        Lab.CacheNode origin = new Lab.CacheNode("o-1", 50, hit);
        String nobody = "127.0.0.1:" + Lab.freeAddress().getPort();
        List<String> first = new ArrayList<>(List.of(
                Lab.instance("c-1", leaving.address(), "edge-1", "small-box", "active"),
                Lab.instance("c-2", staying.address(), "edge-1", "small-box", "active"),
                Lab.instance("o-1", origin.address(), "north", "origin", "active")));
        for (int i = 0; i < OTHER_NODES; i++) {
            first.add(Lab.instance("s-00c4" + (1000 + i), nobody, "north", "small-box", "active"));
        }
        String known = Lab.listEvent(1, true, first);
        String settings = Lab.replace(
                Lab.replace(Lab.SETTINGS, "\"balancers\":1", "\"balancers\":" + FRONTS),
                "\"crew-by-zone\":[0,1]", "\"crew-by-zone\":[0," + FRONTS + "]");
        Lab.Coordinator current = new Lab.Coordinator(lab, known);
        Lab.Proxy[] fronts = new Lab.Proxy[FRONTS];
        Lab.Client[] clients = new Lab.Client[FRONTS];
        for (int i = 0; i < FRONTS; i++) {
            fronts[i] = lab.startProxy("n" + i, current.address(), known, 1,
                    settings.replace("\"self-index\":0", "\"self-index\":" + i), Lab.LIMITS);
        }
        for (int i = 0; i < FRONTS; i++) {
            fronts[i].awaitReady();
        }
        boolean stale = false;
        for (int round = 0; round < ROUNDS && !stale; round++) {
            Lab.Coordinator old = current;
            Lab.Coordinator between = new Lab.Coordinator(lab, known);
            current = new Lab.Coordinator(lab, known);
            for (Lab.Proxy front : fronts) {
                if (Lab.TROUBLE) {
                    reload(front, old, between, current);
                } else {
                    reload(front, old, current);
                }
            }
            Lab.sleep(1_000);
            old.close();
            between.close();
            lab.note("round " + round + ": discovery is at " + current.address()
                    + (Lab.TROUBLE ? ", for some milliseconds it was at " + between.address() : ""));
            for (Lab.Proxy front : fronts) {
                String[] lines = front.log().split("now following the discovery service at /");
                String last = lines[lines.length - 1].split(" ")[0];
                if (!last.equals(current.address())) {
                    lab.note("the front with pid " + front.process.pid() + " says that it follows " + last);
                    stale = true;
                }
            }
            if (current.follows.get() < FRONTS) {
                lab.note("only " + current.follows + " of " + FRONTS + " fronts have sent the coordinator a line");
                stale = true;
            }
        }
        leavingSinceMs.set(Lab.now());
        current.add(Lab.listEvent(
                2, false, List.of(Lab.instance("c-1", leaving.address(), "edge-1", "small-box", "leaving"))));
        lab.note("the coordinator at " + current.address() + " has event 2: c-1 is leaving");
        for (int i = 0; i < FRONTS; i++) {
            clients[i] = new Lab.Client(fronts[i].address);
        }
        int served = 0;
        int other = 0;
        for (int i = 0; Lab.now() < leavingSinceMs.get() + graceMs + AFTERWARDS_MS; i++) {
            List<CompletableFuture<Lab.Answer>> answers = new ArrayList<>();
            for (Lab.Client client : clients) {
                Map<String, String> params = Lab.Client.params(
                        "media", Lab.newRequestId(), String.format("%016x", i % 200 * 7919L), 0, 3, 3000);
                answers.add(client.send(params, new byte[0]));
            }
            for (CompletableFuture<Lab.Answer> future : answers) {
                Lab.Answer answer = Lab.await(future, 5000);
                boolean wasServed = answer != null && answer.served();
                served += wasServed ? 1 : 0;
                other += wasServed ? 0 : 1;
            }
            Lab.sleep(40);
        }
        lab.note("clients: served " + served + ", else " + other + "; requests that c-1 was sent too late: " + late);
        for (Lab.Proxy front : fronts) {
            front.noteLog();
        }
        return late.get() == 0;
    }

    /** Puts configurations in place one after the other, each whole, and sends SIGHUP after each. */
    private static void reload(Lab.Proxy front, Lab.Coordinator before, Lab.Coordinator... coordinators)
            throws IOException, InterruptedException {
        String text = Files.readString(front.config);
        StringBuilder commands = new StringBuilder();
        String address = before.address();
        for (int i = 0; i < coordinators.length; i++) {
            Path next = front.config.resolveSibling(front.config.getFileName() + "." + i);
            text = text.replace("\"coordinator\":\"" + address + "\"", "\"coordinator\":\"" + coordinators[i].address()
                    + "\"");
            address = coordinators[i].address();
            Files.writeString(next, text);
            commands.append(i == 0 ? "" : "sleep 0." + String.format("%03d", GAP_MS) + "; ").append("mv ").append(next).append(' ').append(front.config).append("; kill -HUP ")
                    .append(front.process.pid()).append("; ");
        }
        Process shell = new ProcessBuilder("/bin/sh", "-c", commands.toString()).start();
        if (!shell.waitFor(10, TimeUnit.SECONDS) || shell.exitValue() != 0) {
            throw new Lab.CannotRun("SIGHUP could not be sent");
        }
    }
}
