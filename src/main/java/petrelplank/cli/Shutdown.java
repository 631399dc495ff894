package petrelplank.cli;

import java.util.logging.Logger;
import petrelplank.fastcgi.FastCgiListener;
import petrelplank.proxy.EdgeProxy;
import petrelplank.proxy.EventLoop;
import petrelplank.routing.RouterSettings;
import petrelplank.routing.ServiceClass;

/**
 * The graceful shutdown after SIGTERM. The health check fails at once. New connections, and for longer new requests,
 * are still accepted for a while. Then open requests are answered and idle client connections are closed. Except for
 * {@link #start}, used only in the event thread.
 */
final class Shutdown {
    private static final Logger LOG = Logger.getLogger(Shutdown.class.getName());
    private static final long US_PER_MS = 1000;
    /** Clients connect for up to 400 ms after SIGTERM and send requests for 200 ms more; both get a large margin. */
    private static final long ACCEPT_CONNECTIONS_US = 600 * US_PER_MS;

    private static final long ACCEPT_REQUESTS_US = 900 * US_PER_MS;
    /**
     * SIGKILL follows SIGTERM after the longest request deadline plus this time. A deadline above the maximum counts as
     * the maximum.
     */
    private static final long KILL_AFTER_DEADLINE_US = 700 * US_PER_MS;

    private static final long MAX_DEADLINE_US = 3_000 * US_PER_MS;
    /** All requests are answered this long before SIGKILL. */
    private static final long KILL_MARGIN_US = 200 * US_PER_MS;
    /** Time to send the last bytes, and the same time again to close idle connections. */
    private static final long FLUSH_TIMEOUT_US = 50 * US_PER_MS;

    private static final long POLL_INTERVAL_US = FLUSH_TIMEOUT_US / 5;
    /** After this many more select calls of the I/O thread, all data that had arrived before has been read. */
    private static final int SELECTS_UNTIL_READ = 2;
    /** The same for connections that have just been accepted: they are registered with the selector first. */
    private static final int SELECTS_UNTIL_ACCEPTED_READ = SELECTS_UNTIL_READ + 1;

    private final EventLoop loop;
    private final EdgeProxy proxy;
    private final FastCgiListener clientListener;
    private final ProxyTransport transport;
    private final Readiness readiness;
    private final long answerTimeLimitUs;
    private boolean listening = true;
    /** Once the I/O thread has made this many selections, all data that arrived in time has been read. */
    private long readAtSelection;

    private boolean acceptWaitLogged;
    private boolean deliveryWaitLogged;

    Shutdown(
            EventLoop loop,
            EdgeProxy proxy,
            FastCgiListener clientListener,
            ProxyTransport transport,
            Readiness readiness,
            RouterSettings settings) {
        this.loop = loop;
        this.proxy = proxy;
        this.clientListener = clientListener;
        this.transport = transport;
        this.readiness = readiness;
        this.answerTimeLimitUs =
                Math.min(MAX_DEADLINE_US, longestDeadlineUs(settings)) + KILL_AFTER_DEADLINE_US - KILL_MARGIN_US;
    }

    private static long longestDeadlineUs(RouterSettings settings) {
        return settings.classes().stream()
                .mapToLong(ServiceClass::deadlineUs)
                .max()
                .orElse(0);
    }

    /**
     * Starts the shutdown. May be called from any thread.
     *
     * @param onStopped the task to run at the end, in the event thread
     * @return the longest time that the shutdown takes, in milliseconds
     */
    long start(Runnable onStopped) {
        long startedUs = loop.clockUs();
        long answerByUs = startedUs + answerTimeLimitUs;
        long flushByUs = answerByUs + FLUSH_TIMEOUT_US;
        long acceptUntilUs = startedUs + Math.min(ACCEPT_REQUESTS_US, answerTimeLimitUs);
        loop.postUrgent(() -> {
            LOG.info("SIGTERM: draining; totals so far: " + proxy.requestCounts() + "; "
                    + clientListener.connectionCounts() + "; " + proxy.upstreamCounts());
            readiness.drainStarted();
            proxy.startDrain(answerByUs);
            loop.schedule(startedUs + ACCEPT_CONNECTIONS_US, () -> {
                long emptySelections = transport.acceptor().emptySelections();
                scheduleStopListening(answerByUs, emptySelections);
            });
            loop.schedule(acceptUntilUs, () -> {
                awaitSelections(SELECTS_UNTIL_READ);
                closeOnceAnswered(flushByUs, onStopped);
            });
        });
        return (flushByUs - startedUs + 2 * FLUSH_TIMEOUT_US) / US_PER_MS;
    }

    /**
     * Stops listening after the accepting thread has found no waiting connection: while descriptors are short or the
     * process does not run, connections wait in the kernel, with requests on them, and would be reset.
     */
    private void stopListeningOnceAllAccepted(long stopByUs, long emptySelections) {
        if (transport.acceptor().emptySelections() == emptySelections && loop.nowUs() < stopByUs) {
            if (!acceptWaitLogged) {
                LOG.info("SIGTERM: still listening until the waiting connections are accepted");
                acceptWaitLogged = true;
            }
            scheduleStopListening(stopByUs, emptySelections);
            return;
        }
        clientListener.stopListening();
        awaitSelections(SELECTS_UNTIL_ACCEPTED_READ);
        listening = false;
    }

    private void scheduleStopListening(long stopByUs, long emptySelections) {
        loop.schedule(loop.nowUs() + POLL_INTERVAL_US, () -> stopListeningOnceAllAccepted(stopByUs, emptySelections));
    }

    private void awaitSelections(int selections) {
        readAtSelection = Math.max(readAtSelection, transport.processor().selections() + selections);
    }

    /**
     * Waits until the I/O thread has read all data that arrived in time and all responses have reached their clients'
     * systems, then closes.
     */
    private void closeOnceAnswered(long closeByUs, Runnable onStopped) {
        boolean hasUnreadData = transport.processor().selections() < readAtSelection;
        boolean hasPendingRequests = listening || hasUnreadData || proxy.hasPendingRequests();
        boolean hasUndeliveredResponses = clientListener.hasUndeliveredResponses();
        if ((hasPendingRequests || hasUndeliveredResponses) && loop.nowUs() < closeByUs) {
            if (!hasPendingRequests) {
                logDeliveryWait();
            }
            loop.schedule(loop.nowUs() + POLL_INTERVAL_US, () -> closeOnceAnswered(closeByUs, onStopped));
            return;
        }
        LOG.info("stopped: " + proxy.requestCounts() + "; clients that had not taken all responses: "
                + clientListener.slowClientCount());
        // Requests read from here on are rejected and not sent upstream, since their responses could no longer be
        // delivered.
        proxy.shutDownNow();
        closeClientConnections(loop.nowUs() + FLUSH_TIMEOUT_US, onStopped);
    }

    private void logDeliveryWait() {
        long slowClients = clientListener.slowClientCount();
        if (slowClients > 0 && !deliveryWaitLogged) {
            LOG.info("SIGTERM: all requests answered, waiting for " + slowClients + " clients to take their responses");
            deliveryWaitLogged = true;
        }
    }

    /**
     * Closes the client connections one by one, each once it has no unread data: closing a socket with unread data
     * resets the connection, and the client could lose a response.
     */
    private void closeClientConnections(long closeByUs, Runnable onStopped) {
        if (clientListener.closeUnusedConnections() > 0 && loop.nowUs() < closeByUs) {
            loop.schedule(loop.nowUs() + POLL_INTERVAL_US, () -> closeClientConnections(closeByUs, onStopped));
            return;
        }
        // No request is open and no more are admitted, so the event thread may block for a while to close the records.
        proxy.recordStopped();
        onStopped.run();
    }
}
