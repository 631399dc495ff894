package petrelplank.cli;

import java.util.logging.Logger;
import petrelplank.fastcgi.FastCgiAcceptor;
import petrelplank.proxy.EdgeProxy;
import petrelplank.proxy.EventLoop;
import petrelplank.transport.BoundedAcceptor;
import petrelplank.transport.SharedProcessor;

/**
 * The planned end of a front, after SIGTERM: it listens and takes requests a while longer, answers all that is open,
 * and closes what clients still hold. State belongs to the event thread.
 */
final class Shutdown {
    private static final Logger LOG = Logger.getLogger(ProxyServer.class.getName());
    private static final long MS = 1000;
    /** After SIGTERM connections come for up to 400 ms and requests for 200 ms more; both counted generously. */
    private static final long LISTEN_ON_US = 600 * MS;

    private static final long TAKE_ON_US = 900 * MS;
    /** SIGKILL comes so long after the longest deadline, counted from SIGTERM; longer ones count as the most. */
    private static final long KILL_AFTER_US = 700 * MS;

    private static final long MOST_DEADLINE_US = 3_000 * MS;
    /** All is answered so long before SIGKILL. */
    private static final long KILL_MARGIN_US = 200 * MS;
    /** For the last bytes to go out, and once more for idle connections to be closed. */
    private static final long FLUSH_US = 50 * MS;

    private final EventLoop loop;
    private final EdgeProxy front;
    private final FastCgiAcceptor clients;
    private final BoundedAcceptor acceptor;
    private final SharedProcessor io;
    private final long answerAllUs;

    /**
     * The end of a front that goes on for now.
     *
     * @param longestUs the longest deadline of a class, in µs
     */
    Shutdown(
            EventLoop loop,
            EdgeProxy front,
            FastCgiAcceptor clients,
            BoundedAcceptor acceptor,
            SharedProcessor io,
            long longestUs) {
        this.loop = loop;
        this.front = front;
        this.clients = clients;
        this.acceptor = acceptor;
        this.io = io;
        this.answerAllUs = Math.min(MOST_DEADLINE_US, longestUs) + KILL_AFTER_US - KILL_MARGIN_US;
    }

    /**
     * Begins; from any thread.
     *
     * @param from when the front was told, Unix time in µs
     * @param told run first, in the event thread
     * @param ended run last, in the event thread
     * @return the longest that it takes, in ms
     */
    long start(long from, Runnable told, Runnable ended) {
        long latest = from + answerAllUs + FLUSH_US;
        loop.postUrgent(() -> {
            told.run();
            clients.ready(false);
            front.closeAt(from + answerAllUs);
            loop.at(from + LISTEN_ON_US, clients::stopListening);
            loop.at(from + Math.min(TAKE_ON_US, answerAllUs), () -> endWhenDone(latest, io.selections() + 2, ended));
        });
        return (latest - from + 2 * FLUSH_US) / MS;
    }

    /** Once nothing is owed, and what may have lain unread when the time to take it was over has been read. */
    private void endWhenDone(long latest, long looks, Runnable ended) {
        boolean unread = io.selections() < looks;
        if ((unread || front.hasPendingRequests() || acceptor.getScheduledWriteBytes() > 0) && loop.now() < latest) {
            loop.at(loop.now() + FLUSH_US / 5, () -> endWhenDone(latest, looks, ended));
            return;
        }
        LOG.info("ended: " + front.counts());
        // Whatever is read from here on is refused, and not sent on: nobody would wait for its end.
        front.close();
        closeClients(loop.now() + FLUSH_US, ended);
    }

    /** Shuts connections down one by one where nothing lies unread, so that no answer goes with a reset. */
    private void closeClients(long untilUs, Runnable ended) {
        if (clients.closeUnused() > 0 && loop.now() < untilUs) {
            loop.at(loop.now() + FLUSH_US / 5, () -> closeClients(untilUs, ended));
            return;
        }
        // Nothing is left to be answered, and nothing more is taken: now it may wait, for a bounded time.
        front.finished();
        ended.run();
    }
}
