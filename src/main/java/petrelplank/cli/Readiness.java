package petrelplank.cli;

import java.util.logging.Logger;
import petrelplank.discovery.DiscoveryClient;
import petrelplank.fastcgi.FastCgiAcceptor;
import petrelplank.proxy.EdgeProxy;
import petrelplank.proxy.EventLoop;
import petrelplank.transport.BoundedAcceptor;

/**
 * Decides when a started proxy routes its first request and when its health check reports ready. Used only in the event
 * thread.
 */
final class Readiness {
    private enum State {
        STARTING,
        READY,
        /** Final state: the proxy does not become ready again. */
        DRAINING
    }

    private static final Logger LOG = Logger.getLogger(Readiness.class.getName());
    /**
     * The longest wait for the discovery service. It sends a heartbeat each second, and the client treats a connection
     * that was silent for this long as dead, so waiting longer would not help.
     */
    private static final long MAX_WAIT_US = 2_500_000;

    private static final long POLL_INTERVAL_US = 20_000;

    private final EventLoop loop;
    private final EdgeProxy proxy;
    private final DiscoveryClient discovery;
    private final FastCgiAcceptor clients;
    private final BoundedAcceptor acceptor;
    private State state = State.STARTING;

    Readiness(
            EventLoop loop,
            EdgeProxy proxy,
            DiscoveryClient discovery,
            FastCgiAcceptor clients,
            BoundedAcceptor acceptor) {
        this.loop = loop;
        this.proxy = proxy;
        this.discovery = discovery;
        this.clients = clients;
        this.acceptor = acceptor;
    }

    /**
     * Lets the proxy route requests once the discovery service has sent its first line, or after the longest wait.
     * Clients that did not notice a restart send requests before the proxy is ready; these wait, because a drain or a
     * purge may have happened after {@code known} in the configuration was written.
     */
    void resumeOnceDiscoveryHeard() {
        resumeOnceDiscoveryHeard(loop.now() + MAX_WAIT_US);
    }

    private void resumeOnceDiscoveryHeard(long latestUs) {
        if (discovery.hasReceivedEvents() || loop.now() >= latestUs) {
            proxy.resume();
        } else {
            loop.at(loop.now() + POLL_INTERVAL_US, () -> resumeOnceDiscoveryHeard(latestUs));
        }
    }

    /**
     * Reports the proxy ready once a heartbeat of the discovery service shows that no event is missing, or after the
     * longest wait. Otherwise a restarted proxy could miss a drain or a purge that happened after {@code known} in the
     * configuration was written.
     */
    void readyOnceCaughtUp() {
        readyOnceCaughtUp(loop.now() + MAX_WAIT_US);
    }

    private void readyOnceCaughtUp(long latestUs) {
        if (state == State.DRAINING) {
            return;
        }
        if (!discovery.caughtUp() && loop.now() < latestUs) {
            loop.at(loop.now() + POLL_INTERVAL_US, () -> readyOnceCaughtUp(latestUs));
            return;
        }
        state = State.READY;
        clients.ready(true);
        String line =
                "serving at " + acceptor.getLocalAddress() + ", endpoint list as of event " + proxy.lastEventIndex();
        if (discovery.caughtUp()) {
            LOG.info(line);
        } else {
            LOG.warning(line + "; no heartbeat from the discovery service yet, recent endpoint changes may be missing");
        }
    }

    /** Called when the graceful shutdown starts: the health check fails from now on. */
    void drainStarted() {
        state = State.DRAINING;
        clients.ready(false);
    }
}
