package petrelplank.proxy;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiFunction;
import petrelplank.record.EventSink;
import petrelplank.routing.EndpointInfo;
import petrelplank.routing.EndpointState;
import petrelplank.routing.RequestRouter;
import petrelplank.routing.Router;
import petrelplank.routing.RouterSettings;

/** The front: the stages, the router and its actions, and the list of servers. Event thread only. */
public final class EdgeProxy {
    private final EventLoop loop;
    private final UpstreamClient servers;
    private final Router router;
    private final SinkEventRecorder scribe;
    private final RequestCompletion book;
    private final AdmissionController admit;
    private final RequestValidator takeIn;
    private final Set<String> listed = new HashSet<>();
    private long listIndex;

    /**
     * A front without servers; {@link #onEvent} brings them.
     *
     * @param loop the event thread
     * @param settings the settings
     * @param seed for the router's random numbers
     * @param mostOpen most exchanges open at once
     * @param sink takes the front's records; null for none
     * @param connect makes the connections, given the loop and the stage that hears of ends
     */
    public EdgeProxy(
            EventLoop loop,
            RouterSettings settings,
            long seed,
            int mostOpen,
            EventSink sink,
            BiFunction<EventLoop, ResponseForwarder, UpstreamClient> connect) {
        this.loop = loop;
        this.scribe = new SinkEventRecorder(loop, settings, sink);
        this.book = new RequestCompletion(loop, scribe);
        ResponseForwarder relay = new ResponseForwarder(loop, book, scribe);
        RoutingStage route = new RoutingStage(loop, settings);
        this.servers = connect.apply(loop, relay);
        AttemptDispatcher send = new AttemptDispatcher(loop, settings, servers, relay, scribe);
        this.admit = new AdmissionController(loop, mostOpen, route, book, scribe);
        this.takeIn = new RequestValidator(admit, settings, scribe);
        book.admit(admit);
        RouterHost actions = new RouterHost(loop, admit, send, book, scribe);
        this.router = new RequestRouter(settings, seed, actions);
        actions.router(router);
        route.router(router);
        relay.router(router);
        book.router(router);
        loop.post(() -> scribe.pulse(admit));
    }

    /**
     * A request came in.
     *
     * @param asked the request
     * @param channel who gets the answer
     * @param arrivedUs since when its last byte may have been there to be read
     */
    public void handle(ClientRequest asked, ResponseChannel channel, long arrivedUs) {
        if (channel.isOpen()) {
            takeIn.take(asked, channel, arrivedUs);
        }
    }

    /** Routes nothing for now: the list may lack a drain or a purge. What is taken waits for {@link #resume}. */
    public void pause() {
        admit.pause();
    }

    /** The list is as new as it can be: what waits is routed, in the order in which it came. */
    public void resume() {
        admit.resume();
    }

    /**
     * A client stopped waiting.
     *
     * @param id the request's id
     * @param channel who asked; another's request of the same id is left alone
     */
    public void clientDisconnected(String id, ResponseChannel channel) {
        Exchange exchange = admit.find(id);
        if (exchange != null && exchange.channel == channel && !exchange.over) {
            book.left(exchange);
            router.clientDisconnected(loop.now(), id);
        }
    }

    /**
     * The coordinator told something.
     *
     * @param event what; numbers already known are passed over
     */
    public void onEvent(DiscoveryEvent event) {
        if (event.index() <= listIndex) {
            return;
        }
        listIndex = event.index();
        scribe.told(event);
        if (event instanceof DiscoveryEvent.Purge purge) {
            long now = loop.now();
            long ageUs = Math.max(0, now - purge.unixMs() * 1000);
            if (purge.object() != null) {
                router.objectPurged(now, purge.object(), ageUs);
            } else {
                router.groupPurged(now, purge.group(), ageUs);
            }
        } else if (event instanceof DiscoveryEvent.Change change) {
            List<EndpointInfo> members =
                    change.entries().stream().map(DiscoveryEvent.Entry::member).toList();
            router.endpointsChanged(loop.now(), change.complete(), members);
            connections(change);
        }
    }

    private void connections(DiscoveryEvent.Change change) {
        Set<String> left = change.complete() ? new HashSet<>(listed) : new HashSet<>();
        for (DiscoveryEvent.Entry entry : change.entries()) {
            if (entry.member().state() == EndpointState.REMOVED) {
                left.add(entry.member().id());
            } else {
                left.remove(entry.member().id());
            }
        }
        left.forEach(servers::endpointRemoved);
        listed.removeAll(left);
        for (DiscoveryEvent.Entry entry : change.entries()) {
            if (entry.member().state() != EndpointState.REMOVED) {
                listed.add(entry.member().id());
                servers.endpointListed(
                        entry.member().id(), entry.address(), entry.member().startedUs());
            }
        }
    }

    /**
     * The number of the last event heard.
     *
     * @return 0 before the first
     */
    public long lastEventIndex() {
        return listIndex;
    }

    /** From a time on ({@code atUs}, Unix) nothing more is taken, and all that is then open is answered as failed. */
    public void closeAt(long atUs) {
        scribe.draining(atUs);
        admit.closeAt(atUs);
    }

    /** Whatever still comes is refused at once, and nothing is sent any more. */
    public void close() {
        admit.closeAt(loop.now());
    }

    /** The planned end has come: the last record. */
    public void finished() {
        scribe.finished();
    }

    /**
     * Whether a request is still owed its answer.
     *
     * @return whether one is open
     */
    public boolean hasPendingRequests() {
        return admit.hasPendingRequests();
    }

    /**
     * What was answered so far, in one line.
     *
     * @return the counts
     */
    public String counts() {
        return book.counts();
    }
}
