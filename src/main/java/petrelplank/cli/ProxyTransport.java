package petrelplank.cli;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.LongSupplier;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import petrelplank.transport.BoundedAcceptor;
import petrelplank.transport.DescriptorBudget;
import petrelplank.transport.SharedProcessor;

/** The sockets of one proxy. The acceptor and both connectors share a single I/O processor. */
final class ProxyTransport {
    /** Client and upstream connections may use two fifths of the descriptors each; the process needs the rest. */
    private static final int BUDGET_NUMERATOR = 2;

    private static final int BUDGET_DENOMINATOR = 5;
    private static final int ACCEPT_BACKLOG = 1024;
    /** MINA would shrink its read buffer down to 64 bytes, and even a request without a body took several reads. */
    private static final int MIN_CLIENT_READ_BUFFER_BYTES = 2_048;

    private static final int UPSTREAM_READ_BUFFER_BYTES = 16_384;
    private static final int MAX_UPSTREAM_READ_BUFFER_BYTES = 65_536;

    private final ExecutorService ioThread = Executors.newCachedThreadPool();
    private final SharedProcessor processor;
    private final NioSocketConnector upstreamConnector;
    private final NioSocketConnector discoveryConnector;
    private final BoundedAcceptor acceptor;
    private final DescriptorBudget clientBudget;
    private final DescriptorBudget upstreamBudget;

    /**
     * Creates the acceptor and the connectors; opens no socket yet.
     *
     * @param maxDescriptors the number of file descriptors that the process may have open
     * @param clock the Unix time in microseconds
     */
    ProxyTransport(int maxDescriptors, LongSupplier clock) {
        int budget = Math.max(1, maxDescriptors * BUDGET_NUMERATOR / BUDGET_DENOMINATOR);
        clientBudget = new DescriptorBudget(budget);
        upstreamBudget = new DescriptorBudget(budget);
        processor = new SharedProcessor(ioThread, clock);
        upstreamConnector = new NioSocketConnector(processor);
        discoveryConnector = new NioSocketConnector(processor);
        upstreamConnector.getSessionConfig().setTcpNoDelay(true);
        upstreamConnector.getSessionConfig().setReadBufferSize(UPSTREAM_READ_BUFFER_BYTES);
        upstreamConnector.getSessionConfig().setMaxReadBufferSize(MAX_UPSTREAM_READ_BUFFER_BYTES);
        processor.setDescriptorBudget(upstreamConnector, upstreamBudget);
        acceptor = new BoundedAcceptor(processor, clientBudget);
        acceptor.getSessionConfig().setTcpNoDelay(true);
        acceptor.getSessionConfig().setMinReadBufferSize(MIN_CLIENT_READ_BUFFER_BYTES);
        acceptor.setReuseAddress(true);
        acceptor.setBacklog(ACCEPT_BACKLOG);
    }

    SharedProcessor processor() {
        return processor;
    }

    /** Returns the connector for caches, parents and the origin. */
    NioSocketConnector upstreamConnector() {
        return upstreamConnector;
    }

    /** Returns the connector for the discovery service. */
    NioSocketConnector discoveryConnector() {
        return discoveryConnector;
    }

    /** Returns the acceptor of client connections. */
    BoundedAcceptor acceptor() {
        return acceptor;
    }

    DescriptorBudget clientBudget() {
        return clientBudget;
    }

    DescriptorBudget upstreamBudget() {
        return upstreamBudget;
    }

    /** Closes all sockets and ends the I/O thread. */
    void close() {
        acceptor.dispose();
        upstreamConnector.dispose();
        discoveryConnector.dispose();
        processor.dispose();
        ioThread.shutdown();
    }
}
