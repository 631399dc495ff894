package petrelplank.proxy;

import java.util.logging.Logger;
import petrelplank.routing.Router;

/** Fails the exchanges that nothing else has completed by their deadline. */
final class DeadlineGuard {
    private static final Logger LOG = Logger.getLogger(DeadlineGuard.class.getName());
    /** The guard waits this long past the deadline, so that the router's own response comes first. */
    private static final long GRACE_US = 10_000;

    private static final int LOGGED_ONE_IN = 25;

    private final EventLoop loop;
    private final Router router;
    private final RequestCompletion completion;

    DeadlineGuard(EventLoop loop, Router router, RequestCompletion completion) {
        this.loop = loop;
        this.router = router;
        this.completion = completion;
    }

    /** Starts the exchange's deadline timer, which fires shortly after its deadline, or earlier at {@code closeAtUs}. */
    void watch(Exchange exchange, long closeAtUs) {
        exchange.deadlineTimer =
                loop.at(Math.min(exchange.deadlineUs + GRACE_US, closeAtUs), () -> deadlineExceeded(exchange));
    }

    /** Sets one more timer for an exchange that is watched already. */
    void failAt(Exchange exchange, long atUs) {
        loop.at(atUs, () -> deadlineExceeded(exchange));
    }

    /**
     * Guards against a response that was never sent, for whatever reason. The router is notified first that the request
     * is over: it cancels the attempts under way, and would otherwise retry after the final response.
     */
    private void deadlineExceeded(Exchange exchange) {
        if (exchange.isCompleted()) {
            return;
        }
        long count = completion.countDeadlineExceeded();
        if ((count - 1) % LOGGED_ONE_IN == 0) {
            LOG.warning("no answer by the deadline, failed: " + exchange.request.id() + ", " + count + " so far");
        }
        try {
            router.clientDisconnected(loop.now(), exchange.request.id());
        } finally {
            completion.answer(exchange, ClientResponse.of(ClientResponse.Kind.FAILED));
        }
    }
}
