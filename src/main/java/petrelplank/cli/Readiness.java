package petrelplank.cli;

import java.util.logging.Logger;
import petrelplank.discovery.DiscoveryClient;
import petrelplank.fastcgi.FastCgiListener;
import petrelplank.proxy.EdgeProxy;
import petrelplank.proxy.EventLoop;
import petrelplank.transport.BoundedAcceptor;

/** Decides when a started proxy routes its first request, and when its health check says ready. Event thread only. */
final class Readiness {
    private enum State {
        STARTING,
        READY,
        /** Never ready again. */
        DRAINING
    }

    private static final Logger LOG = Logger.getLogger(Readiness.class.getName());
    /**
     * The longest wait for the discovery service: it sends a heartbeat each second, and its client counts a connection
     * that is silent for this long as dead, so a proxy that has heard nothing by then would wait in vain.
     */
    private static final long MAX_WAIT_US = 2_500_000;

    private static final long POLL_INTERVAL_US = 20_000;

    private final EventLoop loop;
    private final EdgeProxy proxy;
    private final DiscoveryClient discovery;
    private final FastCgiListener clients;
    private final BoundedAcceptor acceptor;
    private State state = State.STARTING;

    Readiness(
            EventLoop loop,
            EdgeProxy proxy,
            DiscoveryClient discovery,
            FastCgiListener clients,
            BoundedAcceptor acceptor) {
        this.loop = loop;
        this.proxy = proxy;
        this.discovery = discovery;
        this.clients = clients;
        this.acceptor = acceptor;
    }

    /**
     * Guards a restarted proxy against clients that have not noticed its death and send requests before it is ready:
     * these wait for the first line of the discovery service, since a drain or a purge may have come after
     * {@code known} was written.
     */
    void resumeOnceDiscoveryHeard() {
        resumeOnceDiscoveryHeard(loop.nowUs() + MAX_WAIT_US);
    }

    private void resumeOnceDiscoveryHeard(long latestUs) {
        if (discovery.hasReceivedEvents() || loop.nowUs() >= latestUs) {
            proxy.resumeRouting();
        } else {
            loop.schedule(loop.nowUs() + POLL_INTERVAL_US, () -> resumeOnceDiscoveryHeard(latestUs));
        }
    }

    /**
     * Guards a restarted proxy against a drain or a purge that came after its {@code known} was written: it is ready
     * once the heartbeat of the discovery service shows that no event is missing, or when waiting longer is useless.
     */
    void readyOnceCaughtUp() {
        readyOnceCaughtUp(loop.nowUs() + MAX_WAIT_US);
    }

    private void readyOnceCaughtUp(long latestUs) {
        if (state == State.DRAINING) {
            return;
        }
        if (!discovery.caughtUp() && loop.nowUs() < latestUs) {
            loop.schedule(loop.nowUs() + POLL_INTERVAL_US, () -> readyOnceCaughtUp(latestUs));
            return;
        }
        state = State.READY;
        clients.setReady(true);
        String line = "serving at " + acceptor.getLocalAddress() + ", endpoint list at " + proxy.lastDiscoveryIndex();
        if (discovery.caughtUp()) {
            LOG.info(line);
        } else {
            LOG.warning(line + "; no heartbeat from the discovery service yet, so recent changes may be missing");
        }
    }

    /** The planned shutdown has begun. */
    void drainStarted() {
        state = State.DRAINING;
        clients.setReady(false);
    }
}
