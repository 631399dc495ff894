package petrelplank.proxy;

import java.util.logging.Logger;
import petrelplank.routing.Router;

/** Fails the exchanges that have no final response by their deadline. */
final class DeadlineGuard {
    private static final Logger LOG = Logger.getLogger(DeadlineGuard.class.getName());
    /** The timer fires this long after the deadline, so that a final response from the router takes precedence. */
    private static final long GRACE_US = 10_000;

    private static final int LOG_ONE_IN = 25;

    private final EventLoop loop;
    private final Router router;
    private final RequestCompletion completion;

    DeadlineGuard(EventLoop loop, Router router, RequestCompletion completion) {
        this.loop = loop;
        this.router = router;
        this.completion = completion;
    }

    /**
     * Starts the deadline timer of an exchange. It fires shortly after the deadline, and no later than
     * {@code shutdownAtUs}.
     */
    void startTimer(Exchange exchange, long shutdownAtUs) {
        exchange.deadlineTimer =
                loop.schedule(Math.min(exchange.deadlineUs + GRACE_US, shutdownAtUs), () -> deadlineExceeded(exchange));
    }

    /** Starts a second timer for an exchange whose deadline timer is running, which may fail it earlier. */
    void failAt(Exchange exchange, long atUs) {
        loop.schedule(atUs, () -> deadlineExceeded(exchange));
    }

    /**
     * Fails an exchange that has no final response yet, whatever the cause. The router is notified first, in the same
     * way as of a client's disconnect: it cancels the attempts in flight, and would otherwise retry after the final
     * response.
     */
    private void deadlineExceeded(Exchange exchange) {
        if (exchange.isCompleted()) {
            return;
        }
        long count = completion.countMissedDeadline();
        if ((count - 1) % LOG_ONE_IN == 0) {
            LOG.warning("request " + exchange.request.id() + " failed: no final response by its deadline, " + count
                    + " such requests so far");
        }
        try {
            router.clientDisconnected(loop.nowUs(), exchange.request.id());
        } finally {
            completion.sendResponse(exchange, ClientResponse.of(ClientResponse.Kind.FAILED));
        }
    }
}
