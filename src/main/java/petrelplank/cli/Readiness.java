package petrelplank.cli;

import java.util.logging.Logger;
import petrelplank.discovery.DiscoveryClient;
import petrelplank.fastcgi.FastCgiListener;
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
    private final FastCgiListener clientListener;
    private final BoundedAcceptor acceptor;
    private State state = State.STARTING;

    Readiness(
            EventLoop loop,
            EdgeProxy proxy,
            DiscoveryClient discovery,
            FastCgiListener clientListener,
            BoundedAcceptor acceptor) {
        this.loop = loop;
        this.proxy = proxy;
        this.discovery = discovery;
        this.clientListener = clientListener;
        this.acceptor = acceptor;
    }

    /**
     * Lets the proxy route requests once the discovery service has sent its first line, or after the longest wait.
     * Clients that did not notice a restart send requests before the proxy is ready; these wait, because a drain or a
     * purge may have happened after {@code known} in the configuration was written.
     */
    void resumeAfterFirstDiscoveryEvent() {
        resumeAfterFirstDiscoveryEvent(loop.nowUs() + MAX_WAIT_US);
    }

    private void resumeAfterFirstDiscoveryEvent(long giveUpAtUs) {
        if (discovery.hasReceivedEvents() || loop.nowUs() >= giveUpAtUs) {
            proxy.resumeRouting();
        } else {
            loop.schedule(loop.nowUs() + POLL_INTERVAL_US, () -> resumeAfterFirstDiscoveryEvent(giveUpAtUs));
        }
    }

    /**
     * Reports the proxy ready once a heartbeat of the discovery service shows that no event is missing, or after the
     * longest wait. Otherwise a restarted proxy could miss a drain or a purge that happened after {@code known} in the
     * configuration was written.
     */
    void becomeReadyOnceCaughtUp() {
        becomeReadyOnceCaughtUp(loop.nowUs() + MAX_WAIT_US);
    }

    private void becomeReadyOnceCaughtUp(long giveUpAtUs) {
        if (state == State.DRAINING) {
            return;
        }
        if (!discovery.caughtUp() && loop.nowUs() < giveUpAtUs) {
            loop.schedule(loop.nowUs() + POLL_INTERVAL_US, () -> becomeReadyOnceCaughtUp(giveUpAtUs));
            return;
        }
        state = State.READY;
        clientListener.setReady(true);
        String message = "serving at " + acceptor.getLocalAddress() + ", endpoint list as of event "
                + proxy.lastDiscoveryIndex();
        if (discovery.caughtUp()) {
            LOG.info(message);
        } else {
            LOG.warning(message + "; no heartbeat from the discovery service yet, endpoint changes may be missing");
        }
    }

    /** Called when the graceful shutdown starts: the health check fails from now on. */
    void drainStarted() {
        state = State.DRAINING;
        clientListener.setReady(false);
    }
}
