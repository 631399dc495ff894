package petrelplank.upstream;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** A listed server and its connections. */
final class UpstreamServer {
    final String id;
    final InetSocketAddress address;
    final List<UpstreamConnection> connections = new ArrayList<>(2);
    /** Connections lost in a row, with nothing heard between, whose commands were sent again on a new one. */
    int renewed;

    UpstreamServer(String id, InetSocketAddress address) {
        this.id = id;
        this.address = address;
    }

    /**
     * The connection with the least open on it that takes a command; null where none does. What has been idle since
     * before a time is left, as a guard against a command that crosses the server's own close of it.
     */
    UpstreamConnection leastLoaded(String request, long idleSinceUs) {
        UpstreamConnection best = null;
        for (UpstreamConnection c : List.copyOf(connections)) {
            if (c.idle() && !c.retiring && c.heardUs < idleSinceUs) {
                c.retire();
            }
            if (c.takes(request) && (best == null || c.load() < best.load())) {
                best = c;
            }
        }
        return best;
    }

    /** Whether an attempt under the id was sent on a connection that is still open. */
    boolean carried(String id) {
        return connections.stream().anyMatch(c -> c.carried(id));
    }

    /** Connections that take something new: one that does not must not keep a fresh one out. */
    long taking() {
        return connections.stream().filter(c -> !c.retiring).count();
    }

    /** Connections made before a time take nothing new. */
    void retireOlderThan(long us) {
        List.copyOf(connections).stream().filter(c -> c.createdUs < us).forEach(UpstreamConnection::retire);
    }
}
