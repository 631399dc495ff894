package petrelplank.emulator;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import petrelplank.proxy.Attempt;
import petrelplank.proxy.ClientRequest;
import petrelplank.proxy.DiscoveryEvent;
import petrelplank.proxy.EdgeProxy;
import petrelplank.proxy.EventLoop;
import petrelplank.proxy.ResponseChannel;
import petrelplank.proxy.ResponseForwarder;
import petrelplank.proxy.UpstreamClient;
import petrelplank.proxy.UpstreamResponse;
import petrelplank.record.EventSink;
import petrelplank.routing.RouterSettings;

/** One life of a front: the real stages and the real decision module, on simulated time and messages. */
final class EmulatedProxy implements UpstreamClient {
    /** Carries a command to a server. */
    interface Network {
        void send(EmulatedProxy from, Attempt attempt);
    }

    private static final int MOST_OPEN = 2_048;

    final String name;
    final String branch;
    private final EventScheduler clock;
    private final long offsetUs;
    private final Network network;
    private final GroundTruthRecorder truth;
    private final EventLoop loop;
    private final EdgeProxy front;
    private final EventSink sink;
    private ResponseForwarder relay;
    private boolean alive = true;
    private long planned = Long.MAX_VALUE;
    /** When each attempt that is out was sent. */
    private final Map<Attempt, Long> out = new HashMap<>();

    EmulatedProxy(
            EventScheduler clock,
            String name,
            String branch,
            RouterSettings settings,
            long seed,
            long offsetUs,
            Network network,
            GroundTruthRecorder truth,
            EventSink sink) {
        this.clock = clock;
        this.name = name;
        this.branch = branch;
        this.offsetUs = offsetUs;
        this.network = network;
        this.truth = truth;
        this.sink = sink;
        this.loop = new EventLoop(() -> clock.now() + offsetUs);
        this.front = new EdgeProxy(loop, settings, seed, MOST_OPEN, sink, (l, r) -> {
            relay = r;
            return this;
        });
        run();
    }

    /** The front's own clock. */
    long clockUs() {
        return clock.now() + offsetUs;
    }

    boolean alive() {
        return alive;
    }

    long lastEventIndex() {
        return front.lastEventIndex();
    }

    void told(DiscoveryEvent event) {
        if (alive) {
            loop.postUrgent(() -> front.onEvent(event));
            run();
        }
    }

    void take(ClientRequest asked, ResponseChannel channel) {
        loop.post(() -> front.handle(asked, channel, loop.clock()));
        run();
    }

    /** An answer came from a server; passed over where the front has given the attempt up, or has been killed. */
    void answered(Attempt attempt, UpstreamResponse answer) {
        Long sentUs = alive ? out.remove(attempt) : null;
        if (sentUs != null) {
            truth.ended(this, attempt, answer, clock.now() - sentUs);
            loop.post(() -> relay.ended(attempt, answer));
            run();
        }
    }

    /** Killed outright: nothing more happens, and what it had taken is lost. */
    void kill() {
        alive = false;
        if (sink != null) {
            sink.close();
        }
    }

    /** Ends in order at the end of the emulation. */
    void finish() {
        if (alive) {
            front.finished();
            kill();
        }
    }

    /** Lets the event thread do all that is queued and due, and plans its next turn. */
    private void run() {
        do {
            loop.turn();
        } while (loop.size() > 0);
        long next = loop.nextDueUs();
        if (next != Long.MAX_VALUE && next - offsetUs < planned) {
            planned = next - offsetUs;
            long mine = planned;
            clock.at(mine, () -> {
                if (planned == mine) {
                    planned = Long.MAX_VALUE;
                }
                if (alive) {
                    run();
                }
            });
        }
    }

    @Override
    public void send(Attempt attempt) {
        out.put(attempt, clock.now());
        truth.sent(this, attempt);
        network.send(this, attempt);
    }

    @Override
    public void abort(Attempt attempt) {
        Long sentUs = out.remove(attempt);
        if (sentUs != null) {
            truth.withdrawn(this, attempt.server(), clock.now() - sentUs);
        }
    }

    @Override
    public void endpointListed(String id, InetSocketAddress address, long startedUs) {}

    @Override
    public void endpointRemoved(String id) {}
}
