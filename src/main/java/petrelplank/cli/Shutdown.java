package petrelplank.cli;

import java.util.logging.Logger;
import petrelplank.fastcgi.FastCgiListener;
import petrelplank.proxy.EdgeProxy;
import petrelplank.proxy.EventLoop;
import petrelplank.routing.RouterSettings;
import petrelplank.routing.ServiceClass;

/**
 * The graceful shutdown after SIGTERM, in this order: the health check fails; connections, then requests are accepted a
 * while longer; all that is open is answered; idle connections of clients are closed. Event thread only.
 */
final class Shutdown {
    private static final Logger LOG = Logger.getLogger(Shutdown.class.getName());
    private static final long US_PER_MS = 1000;
    /** After SIGTERM connections come for up to 400 ms and requests for 200 ms more; both with a generous margin. */
    private static final long ACCEPT_CONNECTIONS_US = 600 * US_PER_MS;

    private static final long ACCEPT_REQUESTS_US = 900 * US_PER_MS;
    /** SIGKILL comes so long after the longest deadline, counted from SIGTERM; a longer deadline counts as the maximum. */
    private static final long KILL_AFTER_DEADLINE_US = 700 * US_PER_MS;

    private static final long MAX_DEADLINE_US = 3_000 * US_PER_MS;
    /** All is answered so long before SIGKILL. */
    private static final long KILL_MARGIN_US = 200 * US_PER_MS;
    /** Time for the last bytes to go out, and once more for idle connections to be closed. */
    private static final long FLUSH_US = 50 * US_PER_MS;

    private static final long POLL_INTERVAL_US = FLUSH_US / 5;
    /** After so many more turns of the I/O thread, whatever had arrived by then has been read. */
    private static final int TURNS_UNTIL_READ = 2;

    private final EventLoop loop;
    private final EdgeProxy proxy;
    private final FastCgiListener clients;
    private final ProxyTransport transport;
    private final Readiness readiness;
    private final long answerAllUs;

    Shutdown(
            EventLoop loop,
            EdgeProxy proxy,
            FastCgiListener clients,
            ProxyTransport transport,
            Readiness readiness,
            RouterSettings settings) {
        this.loop = loop;
        this.proxy = proxy;
        this.clients = clients;
        this.transport = transport;
        this.readiness = readiness;
        this.answerAllUs =
                Math.min(MAX_DEADLINE_US, longestDeadlineUs(settings)) + KILL_AFTER_DEADLINE_US - KILL_MARGIN_US;
    }

    private static long longestDeadlineUs(RouterSettings settings) {
        return settings.classes().stream()
                .mapToLong(ServiceClass::deadlineUs)
                .max()
                .orElse(0);
    }

    /**
     * Starts to drain; from any thread.
     *
     * @param onStopped run last, in the event thread
     * @return the longest that the shutdown takes, in milliseconds
     */
    long start(Runnable onStopped) {
        long startedUs = loop.clockUs();
        long answeredByUs = startedUs + answerAllUs;
        long flushedByUs = answeredByUs + FLUSH_US;
        long acceptUntilUs = startedUs + Math.min(ACCEPT_REQUESTS_US, answerAllUs);
        loop.postUrgent(() -> {
            LOG.info("SIGTERM: draining; so far " + proxy.requestCounts() + "; " + clients.connectionCounts() + "; "
                    + proxy.upstreamCounts());
            readiness.drainStarted();
            proxy.startDrain(answeredByUs);
            loop.schedule(startedUs + ACCEPT_CONNECTIONS_US, clients::stopListening);
            loop.schedule(
                    acceptUntilUs,
                    () -> closeOnceAnswered(
                            flushedByUs, transport.processor().selections() + TURNS_UNTIL_READ, onStopped));
        });
        return (flushedByUs - startedUs + 2 * FLUSH_US) / US_PER_MS;
    }

    /** Waits for the pending responses, and until the I/O thread has read what had arrived in time. */
    private void closeOnceAnswered(long latestUs, long readAtTurn, Runnable onStopped) {
        boolean unread = transport.processor().selections() < readAtTurn;
        boolean unanswered =
                unread || proxy.hasPendingRequests() || transport.acceptor().getScheduledWriteBytes() > 0;
        if (unanswered && loop.nowUs() < latestUs) {
            loop.schedule(loop.nowUs() + POLL_INTERVAL_US, () -> closeOnceAnswered(latestUs, readAtTurn, onStopped));
            return;
        }
        LOG.info("stopped: " + proxy.requestCounts());
        // Whatever is read from here on is rejected, and not sent upstream: nobody would wait for its response.
        proxy.shutDownNow();
        closeClients(loop.nowUs() + FLUSH_US, onStopped);
    }

    /** Closes connections one by one where nothing lies unread, so that no response is lost to a reset. */
    private void closeClients(long latestUs, Runnable onStopped) {
        if (clients.closeUnusedConnections() > 0 && loop.nowUs() < latestUs) {
            loop.schedule(loop.nowUs() + POLL_INTERVAL_US, () -> closeClients(latestUs, onStopped));
            return;
        }
        // Nothing is left to be answered, and nothing more is admitted: closing the records may block, for a while.
        proxy.recordStopped();
        onStopped.run();
    }
}
