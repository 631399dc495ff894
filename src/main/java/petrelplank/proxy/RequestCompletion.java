package petrelplank.proxy;

import java.util.logging.Logger;
import petrelplank.routing.Router;

/** Stage 6: gives each exchange its one final answer, keeps the counts, and forgets what is over. */
final class RequestCompletion {
    private static final Logger LOG = Logger.getLogger(RequestCompletion.class.getName());

    private static final int LOGGED_ONE_IN = 25;

    private final long[] answered = new long[ClientResponse.Kind.values().length];
    private long turnedAway;
    private long overdue;
    private long left;
    private final EventLoop loop;
    private final SinkEventRecorder scribe;
    private AdmissionController admit;
    private Router router;

    RequestCompletion(EventLoop loop, SinkEventRecorder scribe) {
        this.loop = loop;
        this.scribe = scribe;
    }

    void router(Router chosen) {
        router = chosen;
    }

    void admit(AdmissionController stage) {
        admit = stage;
    }

    /** The final answer; anything after the first is passed over, since a second one loses the request. */
    void answer(Exchange exchange, ClientResponse answer) {
        if (exchange.over) {
            return;
        }
        exchange.over = true;
        exchange.guard.cancel();
        answered[answer.kind().ordinal()]++;
        scribe.answered(exchange, answer);
        exchange.channel.answer(answer);
        release(exchange);
    }

    /** The client left or broke off: nothing is owed any more. */
    void left(Exchange exchange) {
        exchange.over = true;
        exchange.guard.cancel();
        left++;
        scribe.left(exchange);
        release(exchange);
    }

    void release(Exchange exchange) {
        admit.release(exchange);
    }

    /**
     * Guards against an answer that was never given, whatever forgot it. The router hears first, that the request is
     * over: it calls off what is out, and would else send it on after the final answer.
     */
    void overdue(Exchange exchange) {
        if (!exchange.over) {
            if (overdue++ % LOGGED_ONE_IN == 0) {
                LOG.warning("no answer by the deadline, failed: " + exchange.asked.id() + ", " + overdue + " so far");
            }
            try {
                router.clientDisconnected(loop.now(), exchange.asked.id());
            } finally {
                answer(exchange, ClientResponse.of(ClientResponse.Kind.FAILED));
            }
        }
    }

    void turnedAway() {
        turnedAway++;
    }

    /** One line of counts. */
    String counts() {
        StringBuilder line = new StringBuilder();
        for (ClientResponse.Kind kind : ClientResponse.Kind.values()) {
            line.append(kind.label())
                    .append(' ')
                    .append(answered[kind.ordinal()])
                    .append(", ");
        }
        return line + "turned away " + turnedAway + ", clients left " + left + ", overdue " + overdue;
    }
}
