package petrelplank.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/** Writes down what a router does. */
class RecordingActions implements Router.Actions {
    record Sent(String request, AttemptPlan order) {}

    final List<Sent> sent = new ArrayList<>();
    final List<String> refused = new ArrayList<>();
    final List<Long> retryAfter = new ArrayList<>();
    final List<String> failed = new ArrayList<>();
    final List<String> lines = new ArrayList<>();
    final List<String> all = new ArrayList<>();
    final TreeMap<Long, Long> timers = new TreeMap<>();

    @Override
    public void send(String request, AttemptPlan order) {
        sent.add(new Sent(request, order));
        all.add("send " + request + " " + order);
    }

    @Override
    public void reject(String request, long retryAfterUs) {
        refused.add(request);
        retryAfter.add(retryAfterUs);
        all.add("refuse " + request);
    }

    @Override
    public void fail(String request) {
        failed.add(request);
        all.add("fail " + request);
    }

    @Override
    public void cancel(String request, int attempt) {
        all.add("cancel " + request + " " + attempt);
    }

    @Override
    public void healthCheck(String server) {
        all.add("probe " + server);
    }

    @Override
    public void gossip(int gateway, byte[] data) {
        all.add("tell " + gateway);
    }

    @Override
    public void setTimer(long token, long atUs) {
        all.add("timer " + token + " " + atUs);
        timers.put(token, atUs);
    }

    @Override
    public void watchEndpoints() {
        all.add("subscribe");
    }

    @Override
    public void fetchEndpoints() {
        all.add("fetch");
    }

    @Override
    public void log(String line) {
        lines.add(line);
        all.add("log " + line);
    }
}
