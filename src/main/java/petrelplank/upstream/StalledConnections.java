package petrelplank.upstream;

import java.util.Collection;
import java.util.List;
import petrelplank.proxy.EventLoop;

/**
 * Closes connections on which nothing moves any more. A response that stops short hides all that comes behind it while
 * the connection stays open; a server that reads nothing gets no abort, and closing the connection gives up what is
 * in flight on it. Event thread only.
 */
final class StalledConnections {
    private static final long SWEEP_INTERVAL_US = 75_000;

    private final EventLoop loop;
    private final Collection<UpstreamConnection> connections;
    private final UpstreamFaultLog faults;

    /** Watches a collection of connections, which its owner adds to and removes from. */
    StalledConnections(EventLoop loop, Collection<UpstreamConnection> connections, UpstreamFaultLog faults) {
        this.loop = loop;
        this.connections = connections;
        this.faults = faults;
    }

    /** Begins to sweep; from any thread. */
    void start() {
        loop.post(this::sweep);
    }

    private void sweep() {
        for (UpstreamConnection connection : List.copyOf(connections)) {
            check(connection);
        }
        loop.at(loop.now() + SWEEP_INTERVAL_US, this::sweep);
    }

    private void check(UpstreamConnection connection) {
        switch (connection.stallDetector().sweep()) {
            case NONE -> {}
            case INCOMPLETE_RESPONSE -> {
                faults.incompleteResponse(connection.server().id());
                connection.close();
            }
            case NOT_READING -> {
                faults.notReading(connection.server().id());
                connection.close();
            }
        }
    }
}
