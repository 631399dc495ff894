import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Discovery is slow: it writes a list of changes, in which a cache node is told to be leaving, over some seconds. */
final class SlowListCase {
    private static final int OTHER_NODES = 100;
    /** The line of about 31 KB takes about four seconds at this rate. */
    private static final int SLOW_BYTES_PER_SECOND = 8_000;

    private static final long TOLD_AT_LATEST_MS = 7_000;
    private static final long STOP_SENDING_WITHIN_MS = 1_000;
    private static final long SLACK_MS = 50;
    private static final long AFTERWARDS_MS = 8_000;

    public static void main(String[] args) {
        Lab.main(args, SlowListCase::run);
    }

    private static boolean run(Lab lab) throws Exception {
        Lab.Handler hit = command -> command.answer(
                "ACK", "tell=HIT,ver=aa01,born=" + (Lab.now() - 1000),
                Lab.content(command.fields().get("item"), command.fields().get("chunk"), 2_000));
        AtomicLong addedMs = new AtomicLong(Long.MAX_VALUE);
        AtomicInteger late = new AtomicInteger();
        AtomicLong lastMs = new AtomicLong();
        long graceMs = TOLD_AT_LATEST_MS + STOP_SENDING_WITHIN_MS + SLACK_MS;
        Lab.CacheNode leaving = new Lab.CacheNode("c-1", 50, command -> {
            if (addedMs.get() != Long.MAX_VALUE) {
                lastMs.set(command.firstByteMs());
                if (command.firstByteMs() > addedMs.get() + graceMs && late.incrementAndGet() % 20 == 1) {
                    lab.note("c-1 was sent request " + command.id() + " " + (command.firstByteMs() - addedMs.get())
                            + " ms after the coordinator had it as leaving");
                }
            }
            hit.fetch(command);
        });
        Lab.CacheNode staying = new Lab.CacheNode("c-2", 50, hit);
        Lab.CacheNode parent = new Lab.CacheNode("p-1", 50, hit);
        Lab.CacheNode origin = new Lab.CacheNode("o-1", 50, hit);
        String nobody = "127.0.0.1:" + Lab.freeAddress().getPort();

        List<String> first = new ArrayList<>(List.of(
                Lab.instance("c-1", leaving.address(), "edge-1", "small-box", "active"),
                Lab.instance("c-2", staying.address(), "edge-1", "small-box", "active"),
                Lab.instance("p-1", parent.address(), "north", "parent", "active"),
                Lab.instance("o-1", origin.address(), "north", "origin", "active")));
        List<String> release = new ArrayList<>();
        release.add(Lab.instance("c-1", leaving.address(), "edge-1", "small-box", "leaving"));
        for (int i = 0; i < OTHER_NODES; i++) {
            first.add(Lab.instance("s-00c4" + (1000 + i), nobody, "edge-2", "small-box", "active"));
            release.add(Lab.instance("s-00c4" + (1000 + i), nobody, "edge-2", "small-box", "leaving"));
            release.add(Lab.instance("s-00c5" + (1000 + i), nobody, "edge-2", "small-box", "active"));
        }
        String known = Lab.listEvent(1, true, first);
        Lab.Coordinator coordinator = new Lab.Coordinator(lab, known);
        String settings = Lab.replace(
                Lab.replace(Lab.SETTINGS, "[\"north\",\"edge-1\"]", "[\"north\",\"edge-1\",\"edge-2\"]"),
                "\"crew-by-zone\":[0,1],\"flow-kb-per-s\":8200.0,\"hub-of\":[0,0]",
                "\"crew-by-zone\":[0,1,0],\"flow-kb-per-s\":8200.0,\"hub-of\":[0,0,0]");
        settings = Lab.replace(settings, "\"zone-link-kb-per-s\":[0.0,0.0]", "\"zone-link-kb-per-s\":[0.0,0.0,0.0]");
        Lab.Proxy proxy = lab.startProxy("n1", coordinator.address(), known, 1, settings, Lab.LIMITS);
        proxy.awaitReady();

        AtomicInteger served = new AtomicInteger();
        AtomicInteger other = new AtomicInteger();
        Lab.Client client = new Lab.Client(proxy.address);
        Runnable oneRequest = () -> {
            String object = String.format("%016x", (served.get() + other.get()) % 200 * 7919L);
            Map<String, String> params = Lab.Client.params("media", Lab.newRequestId(), object, 0, 3, 3000);
            try {
                Lab.Answer answer = Lab.await(client.send(params, new byte[0]), 5000);
                (answer != null && answer.served() ? served : other).incrementAndGet();
            } catch (java.io.IOException e) {
                throw new Lab.CannotRun("the client's connection: " + e);
            }
        };
        for (int i = 0; i < 60; i++) {
            oneRequest.run();
            Lab.sleep(20);
        }
        int before = leaving.commands.get();
        lab.note("before the release: " + served + " requests served, " + before + " of them by c-1, " + staying.commands
                + " by c-2");
        if (before == 0) {
            throw new Lab.CannotRun("c-1 got no request before the release");
        }
        if (Lab.TROUBLE) {
            coordinator.bytesPerSecond = SLOW_BYTES_PER_SECOND;
        }
        String event = Lab.listEvent(2, false, release);
        addedMs.set(Lab.now());
        coordinator.add(event);
        lab.note("the coordinator has event 2, a line of " + event.length() + " bytes: c-1 is leaving");
        while (Lab.now() < addedMs.get() + graceMs + AFTERWARDS_MS) {
            oneRequest.run();
            Lab.sleep(30);
        }
        lab.note("clients: served " + served + ", else " + other + "; connections to the coordinator: "
                + coordinator.follows);
        lab.note("c-1 was sent its last request " + (lastMs.get() - addedMs.get())
                + " ms after the coordinator had it as leaving; allowed: " + graceMs + " ms; later ones: " + late);
        proxy.noteLog();
        return late.get() == 0;
    }
}
