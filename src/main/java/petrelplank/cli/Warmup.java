package petrelplank.cli;

import java.io.IOException;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;
import petrelplank.fastcgi.ListenerWarmup;
import petrelplank.proxy.RouterWarmup;
import petrelplank.routing.EndpointInfo;
import petrelplank.routing.RouterSettings;
import petrelplank.transport.BoundedAcceptor;

/**
 * Exercises the router and the listener before the proxy is ready, so that the JIT compiler has compiled their code.
 * The first clients connect all at once; with less than half a core, their requests would wait for the compiler.
 */
final class Warmup {
    private static final Logger LOG = Logger.getLogger(Warmup.class.getName());
    private static final int ROUTED_REQUESTS = 1500;
    private static final int LISTENER_ROUNDS = 60;

    private final RouterSettings settings;
    private final List<EndpointInfo> endpoints;
    private final BoundedAcceptor acceptor;

    /**
     * Creates the warm-up of a proxy.
     *
     * @param settings the router settings of the proxy
     * @param endpoints the endpoints of the complete lists in the configuration
     * @param acceptor the listener, which must be listening when {@link #start} is called
     */
    Warmup(RouterSettings settings, List<EndpointInfo> endpoints, BoundedAcceptor acceptor) {
        this.settings = settings;
        this.endpoints = endpoints;
        this.acceptor = acceptor;
    }

    /** Runs the warm-up in a new thread, then {@code onFinished} in the same thread, even if the warm-up failed. */
    void start(Runnable onFinished) {
        Thread thread = new Thread(() -> run(onFinished), "warm-up");
        thread.setDaemon(true);
        thread.start();
    }

    private void run(Runnable onFinished) {
        try {
            RouterWarmup.run(settings, endpoints, ROUTED_REQUESTS);
            ListenerWarmup.run(acceptor.getLocalAddress(), LISTENER_ROUNDS);
        } catch (IOException | RuntimeException e) {
            LOG.log(Level.WARNING, "warm-up failed, continuing without it", e);
        }
        onFinished.run();
    }
}
