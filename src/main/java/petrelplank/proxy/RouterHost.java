package petrelplank.proxy;

import java.util.logging.Logger;
import petrelplank.routing.AttemptPlan;
import petrelplank.routing.Router;
import petrelplank.routing.Router.Actions;
import petrelplank.routing.TerminationReason;

/** Carries the router's decisions out: attempts, final answers, timers. Event thread only. */
final class RouterHost implements Actions {
    private static final Logger LOG = Logger.getLogger(EdgeProxy.class.getName());
    private static final long LEAST_TIMER_US = 1000;

    private final EventLoop loop;
    private final AdmissionController admit;
    private final AttemptDispatcher send;
    private final RequestCompletion book;
    private final SinkEventRecorder scribe;
    private Router router;

    RouterHost(
            EventLoop loop,
            AdmissionController admit,
            AttemptDispatcher send,
            RequestCompletion book,
            SinkEventRecorder scribe) {
        this.loop = loop;
        this.admit = admit;
        this.send = send;
        this.book = book;
        this.scribe = scribe;
    }

    /** Names the router whose timers these are. */
    void router(Router chosen) {
        router = chosen;
    }

    @Override
    public void send(String request, AttemptPlan order) {
        send.send(admit.find(request), order);
    }

    @Override
    public void reject(String request, long retryAfterUs) {
        book.answer(admit.find(request), ClientResponse.refused((retryAfterUs + 999) / 1000));
    }

    @Override
    public void fail(String request) {
        book.answer(admit.find(request), ClientResponse.of(ClientResponse.Kind.FAILED));
    }

    @Override
    public void terminated(String request, TerminationReason why) {
        scribe.terminated(request, why);
    }

    @Override
    public void ejected(String server, boolean trial, long pauseUs) {
        scribe.ejected(server, trial, pauseUs);
    }

    @Override
    public void recovered(String server) {
        scribe.recovered(server);
    }

    @Override
    public void cancel(String request, int attempt) {
        Exchange exchange = admit.find(request);
        if (exchange != null) {
            send.cancel(exchange, attempt);
        }
    }

    @Override
    public void healthCheck(String server) {
        LOG.warning("the router asked for a probe, which the front does not send");
    }

    @Override
    public void gossip(int gateway, byte[] data) {
        LOG.warning("the router has a message for another front, which the front does not send");
    }

    /** Guards the event thread: as in the simulator, a timer never fires in the turn that set it. */
    @Override
    public void setTimer(long token, long atUs) {
        loop.at(Math.max(atUs, loop.now() + LEAST_TIMER_US), () -> router.timerFired(loop.now(), token));
    }

    /** The front follows the coordinator from its start. */
    @Override
    public void watchEndpoints() {}

    /** The whole list is in the first event, and nothing is left out after it. */
    @Override
    public void fetchEndpoints() {}

    @Override
    public void log(String line) {
        LOG.info(line);
    }
}
