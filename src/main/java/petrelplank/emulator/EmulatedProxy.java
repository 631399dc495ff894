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

/** One incarnation of a proxy: the production pipeline and routing on simulated time and an emulated network. */
final class EmulatedProxy implements UpstreamClient {
    /** Transmits attempts to servers over the emulated network. */
    @FunctionalInterface
    interface AttemptTransport {
        void send(EmulatedProxy from, Attempt attempt);
    }

    private static final int MAX_OPEN_REQUESTS = 2_048;
    private static final long NO_TURN_SCHEDULED = Long.MAX_VALUE;

    private final EventScheduler clock;
    private final ProxyIdentity identity;
    private final AttemptTransport transport;
    private final GroundTruthRecorder truth;
    private final EventSink sink;
    private final EventLoop loop;
    private final EdgeProxy proxy;
    private final Map<Attempt, Long> sentUsByAttempt = new HashMap<>();
    private ResponseForwarder forwarder;
    private boolean alive = true;
    private long nextTurnUs = NO_TURN_SCHEDULED;

    /**
     * Starts the proxy.
     *
     * @param sink receives the proxy's records; {@link EventSink#NONE} discards them
     */
    EmulatedProxy(
            EventScheduler clock,
            ProxyIdentity identity,
            RouterSettings settings,
            AttemptTransport transport,
            GroundTruthRecorder truth,
            EventSink sink) {
        this.clock = clock;
        this.identity = identity;
        this.transport = transport;
        this.truth = truth;
        this.sink = sink;
        this.loop = new EventLoop(this::clockUs);
        this.proxy = new EdgeProxy(
                loop, settings, identity.incarnation(), MAX_OPEN_REQUESTS, sink, (eventLoop, responseForwarder) -> {
                    forwarder = responseForwarder;
                    return this;
                });
        runLoop();
    }

    String name() {
        return identity.name();
    }

    String zone() {
        return identity.zone();
    }

    /** Returns the time of the proxy's own clock, which may be offset from simulated time. */
    long clockUs() {
        return clock.nowUs() + identity.clockOffsetUs();
    }

    boolean isAlive() {
        return alive;
    }

    long lastEventIndex() {
        return proxy.lastDiscoveryIndex();
    }

    void onDiscoveryEvent(DiscoveryEvent event) {
        if (alive) {
            loop.postUrgent(() -> proxy.onDiscoveryEvent(event));
            runLoop();
        }
    }

    void handle(ClientRequest request, ResponseChannel channel) {
        loop.post(() -> proxy.handle(request, channel, loop.clockUs()));
        runLoop();
    }

    /** Handles a server's response. It is ignored if the proxy has aborted the attempt or has been killed. */
    void onResponse(Attempt attempt, UpstreamResponse response) {
        Long sentUs = alive ? sentUsByAttempt.remove(attempt) : null;
        if (sentUs != null) {
            truth.attemptEnded(this, attempt, response, clock.nowUs() - sentUs);
            loop.post(() -> forwarder.attemptEnded(attempt, response));
            runLoop();
        }
    }

    /** Kills the proxy immediately; its open requests are lost. */
    void kill() {
        alive = false;
        sink.close();
    }

    /** Shuts the proxy down gracefully, unless it has been killed. */
    void finish() {
        if (alive) {
            proxy.recordStopped();
            kill();
        }
    }

    /** Runs all queued or due tasks of the event loop, then schedules a turn for the next timer. */
    private void runLoop() {
        do {
            loop.runOnce();
        } while (loop.queuedTaskCount() > 0);
        long nextDueUs = loop.nextTimerDueUs();
        if (nextDueUs != Long.MAX_VALUE && nextDueUs - identity.clockOffsetUs() < nextTurnUs) {
            scheduleTurn(nextDueUs - identity.clockOffsetUs());
        }
    }

    private void scheduleTurn(long turnUs) {
        nextTurnUs = turnUs;
        clock.at(turnUs, () -> {
            if (nextTurnUs == turnUs) {
                nextTurnUs = NO_TURN_SCHEDULED;
            }
            if (alive) {
                runLoop();
            }
        });
    }

    @Override
    public void send(Attempt attempt) {
        sentUsByAttempt.put(attempt, clock.nowUs());
        truth.attemptSent(this, attempt);
        transport.send(this, attempt);
    }

    @Override
    public void abort(Attempt attempt) {
        if (sentUsByAttempt.remove(attempt) != null) {
            truth.attemptAborted(attempt.server());
        }
    }

    @Override
    public void endpointListed(String id, InetSocketAddress address, long startedUs) {}

    @Override
    public void endpointRemoved(String id) {}
}
