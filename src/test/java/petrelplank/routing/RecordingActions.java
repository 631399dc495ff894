package petrelplank.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/** Records all actions of a router, by kind and in order. */
class RecordingActions implements Router.Actions {
    record Sent(String request, AttemptPlan plan) {}

    final List<Sent> sent = new ArrayList<>();
    final List<String> rejected = new ArrayList<>();
    final List<Long> retryAfter = new ArrayList<>();
    final List<String> failed = new ArrayList<>();
    final List<String> logLines = new ArrayList<>();
    final List<String> actions = new ArrayList<>();
    final TreeMap<Long, Long> timers = new TreeMap<>();

    @Override
    public void send(String request, AttemptPlan plan) {
        sent.add(new Sent(request, plan));
        actions.add("send " + request + " " + plan);
    }

    @Override
    public void reject(String request, long retryAfterUs) {
        rejected.add(request);
        retryAfter.add(retryAfterUs);
        actions.add("reject " + request);
    }

    @Override
    public void fail(String request) {
        failed.add(request);
        actions.add("fail " + request);
    }

    @Override
    public void cancel(String request, int attempt) {
        actions.add("cancel " + request + " " + attempt);
    }

    @Override
    public void healthCheck(String server) {
        actions.add("health check " + server);
    }

    @Override
    public void gossip(int proxy, byte[] data) {
        actions.add("gossip " + proxy);
    }

    @Override
    public void setTimer(long token, long atUs) {
        actions.add("timer " + token + " " + atUs);
        timers.put(token, atUs);
    }

    @Override
    public void watchEndpoints() {
        actions.add("watch");
    }

    @Override
    public void fetchEndpoints() {
        actions.add("fetch");
    }

    @Override
    public void log(String line) {
        logLines.add(line);
        actions.add("log " + line);
    }
}
