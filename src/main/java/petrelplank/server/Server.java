package petrelplank.server;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** A listed server and its connections. */
final class Server {
    final String id;
    final InetSocketAddress address;
    final List<ServerConnection> connections = new ArrayList<>(2);
    /** Connections lost in a row, with nothing heard between, whose commands were sent again on a new one. */
    int renewed;

    Server(String id, InetSocketAddress address) {
        this.id = id;
        this.address = address;
    }
}
