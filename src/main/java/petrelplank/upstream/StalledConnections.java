package petrelplank.upstream;

import java.util.List;
import java.util.Set;
import petrelplank.proxy.EventLoop;

/**
 * Closes connections on which nothing moves any more. An answer that stops short hides all that comes behind it, while
 * the connection stays open; a server that reads nothing gets no abort, and closing the connection gives up what is
 * open on it. Event thread only.
 */
final class StalledConnections {
    /** An answer of which nothing more comes over so many sweeps has stopped short; 36 ms were seen on good days. */
    private static final int STUCK_SWEEPS = 4;
    /** An abort is written in the I/O thread's next turn unless the server reads nothing: not so at two sweeps. */
    private static final int BLOCKED_SWEEPS = 2;

    private static final long SWEEP_US = 75_000;

    private final EventLoop loop;
    private final Set<UpstreamConnection> connections;
    private final UpstreamFaultLog faults;

    /** Watches a set of connections, which its owner adds to and takes from. */
    StalledConnections(EventLoop loop, Set<UpstreamConnection> connections, UpstreamFaultLog faults) {
        this.loop = loop;
        this.connections = connections;
        this.faults = faults;
    }

    /** Begins to sweep; from any thread. */
    void start() {
        loop.post(this::sweep);
    }

    private void sweep() {
        for (UpstreamConnection c : List.copyOf(connections)) {
            if (c.stuck(STUCK_SWEEPS)) {
                faults.stuck(c.server.id);
                c.close();
            } else if (c.blocked(BLOCKED_SWEEPS)) {
                faults.blocked(c.server.id);
                c.close();
            }
        }
        loop.at(loop.now() + SWEEP_US, this::sweep);
    }
}
