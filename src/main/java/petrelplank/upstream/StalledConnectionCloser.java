package petrelplank.upstream;

import java.util.Collection;
import java.util.List;
import petrelplank.proxy.EventLoop;

/**
 * Periodically closes connections that make no progress. An incomplete response blocks all responses after it for as
 * long as its connection is open. A server that does not read never receives an abort, so closing the connection is the
 * only way to abort the attempts in flight on it. Event thread only.
 */
final class StalledConnectionCloser {
    private static final long SWEEP_INTERVAL_US = 75_000;

    private final EventLoop loop;
    private final Collection<UpstreamConnection> connections;
    private final UpstreamFaultLog faultLog;

    /**
     * Creates a monitor that is not started yet.
     *
     * @param loop the event loop on which the connections are checked
     * @param connections the connections to check, a live view
     * @param faultLog counts and logs the connections that are closed
     */
    StalledConnectionCloser(EventLoop loop, Collection<UpstreamConnection> connections, UpstreamFaultLog faultLog) {
        this.loop = loop;
        this.connections = connections;
        this.faultLog = faultLog;
    }

    /** Starts the periodic sweeps. May be called on any thread. */
    void start() {
        loop.post(this::sweep);
    }

    private void sweep() {
        for (UpstreamConnection connection : List.copyOf(connections)) {
            check(connection);
        }
        loop.schedule(loop.nowUs() + SWEEP_INTERVAL_US, this::sweep);
    }

    private void check(UpstreamConnection connection) {
        switch (connection.stallDetector().sweep()) {
            case NONE -> {}
            case INCOMPLETE_RESPONSE -> {
                faultLog.incompleteResponse(connection.server().id());
                connection.close();
            }
            case NOT_READING -> {
                faultLog.serverNotReading(connection.server().id());
                connection.close();
            }
        }
    }
}
