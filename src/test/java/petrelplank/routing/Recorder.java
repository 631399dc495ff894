package petrelplank.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A host that writes down what the router does, with short ways to script events. */
final class Recorder extends RecordedActions {
    static final long MS = 1000;
    static final long S = 1000 * MS;
    static final ServiceClass VIDEO =
            new ServiceClass("video", 400 * MS, 2, 6 * S, 2, 0.15, Repeat.FREE, Scope.ALL, 0, false, 0, 0, 1, false);
    static final ServiceClass FILE = new ServiceClass(
            "file", 400 * MS, 2, 3 * S, 1, 0.2, Repeat.FREE, Scope.ALL, 0, false, 12 * S, 20 * S, 0.7, false);
    static final ServiceClass NOTE =
            new ServiceClass("note", 600 * MS, 0, 3 * S, 3, 0, Repeat.KEYED, Scope.ALL, 3 * S, false, 0, 0, 1, true);

    Router router;
    long now = 100 * S;
    private int ids;
    /** Counted for whom, from now on. */
    String tenant;

    static Allowed allowed() {
        return new Allowed(8, false, true, false, false, true, S, true, true, Siblings.ANY);
    }

    static Rules rules() {
        return new Rules(2 * S, 0.2, 16 * S, 2.5, 2 * S, 0.07, 20 * S, 2, 0, 0, S / 2, 6 * S, 10 * S);
    }

    static Settings settings(Weights weights, Notes notes, Allowed allowed) {
        return settings(weights, notes, allowed, 2);
    }

    static Settings settings(Weights weights, Notes notes, Allowed allowed, int gateways) {
        return settings(weights, notes, allowed, gateways, List.of());
    }

    static Settings settings(Weights weights, Notes notes, Allowed allowed, int gateways, List<String> report) {
        return new Settings(
                0,
                Math.max(2, gateways),
                "office",
                List.of("north", "south", "office"),
                List.of(0, 0, gateways),
                List.of(0, 1, 0),
                List.of(),
                "parent",
                "origin",
                8000,
                weights,
                notes,
                report,
                false,
                400 * MS,
                List.of(VIDEO, FILE, NOTE),
                allowed,
                rules());
    }

    Recorder() {
        this(settings(Weights.NOMINAL, Notes.ALL, allowed()));
    }

    Recorder(Settings settings) {
        router = new Brain(settings, 7, this);
    }

    /** A usual roster: four caches, a parent at each of two hubs, an origin, a cache elsewhere. */
    Recorder usual() {
        router.roster(
                now,
                true,
                List.of(
                        cache("a", 0),
                        cache("b", 0),
                        cache("c", 0),
                        cache("d", 0),
                        parent("p-north", "north", 0),
                        parent("p-south", "south", 0),
                        new Member("origin", "north", "origin", 0, State.UP, 50, 0),
                        new Member("far", "south", "box", 0, State.UP, 5, 0)));
        return this;
    }

    static Member cache(String id, long startedUs) {
        return new Member(id, "office", "box", 0, State.UP, 5, startedUs);
    }

    static Member parent(String id, String zone, long startedUs) {
        return new Member(id, zone, "parent", 0, State.UP, 10, startedUs);
    }

    void change(Member... members) {
        router.roster(now, false, List.of(members));
    }

    String ask(long object) {
        return ask("video", object, 0, 4 * S);
    }

    String ask(String type, long object, int group, long waitUs) {
        return ask(type, object, group, waitUs, 800);
    }

    String ask(String type, long object, int group, long waitUs, double sizeKb) {
        String id = "r" + ids++;
        router.request(
                now, new Request(id, object, 0, group, type, now + waitUs, sizeKb, type.equals("note"), false, tenant));
        return id;
    }

    Order last() {
        return sent.get(sent.size() - 1).order();
    }

    int attempts(String request) {
        return (int) sent.stream().filter(s -> s.request().equals(request)).count();
    }

    void end(String request, Status status, Note note, long latencyUs) {
        end(request, status, note, latencyUs, null);
    }

    void end(String request, Status status, Note note, long latencyUs, double[] load) {
        end(request, status, note, latencyUs, load, 0);
    }

    void end(String request, Status status, Note note, long latencyUs, double[] load, double sizeKb) {
        now += latencyUs;
        router.outcome(
                now,
                new Outcome(
                        request,
                        attempts(request) - 1,
                        status,
                        latencyUs,
                        status == Status.OK,
                        note,
                        note == Note.FILLED ? 10 * MS : 0,
                        load,
                        sizeKb));
    }

    /** Asks for many objects, each answered after a fill in good time. */
    List<Order> fills(int from, int to) {
        List<Order> orders = new ArrayList<>();
        for (int i = from; i < to; i++) {
            String id = ask(i);
            if (attempts(id) > 0) {
                orders.add(last());
                end(id, Status.OK, Note.FILLED, 110 * MS);
            }
        }
        return orders;
    }

    /** Lets time pass and fires the timers that fall due in it, in order. */
    void pass(long us) {
        long end = now + us;
        while (!timers.isEmpty()) {
            var next =
                    timers.entrySet().stream().min(Map.Entry.comparingByValue()).get();
            if (next.getValue() > end) {
                break;
            }
            now = Math.max(now, next.getValue());
            timers.remove(next.getKey());
            router.timer(now, next.getKey());
        }
        now = end;
    }

    boolean answered(String request) {
        return refused.contains(request) || failed.contains(request);
    }
}
