package petrelplank.discovery;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.logging.Logger;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import petrelplank.discovery.backoff.ReconnectBackoff;
import petrelplank.proxy.DiscoveryEvent;
import petrelplank.proxy.EdgeProxy;
import petrelplank.proxy.EventLoop;
import petrelplank.settings.FormatException;

/**
 * Follows the coordinator: one connection, made again when it breaks, falls silent or leaves out an event. State
 * belongs to the event thread.
 */
public final class DiscoveryClient {
    private static final Logger LOG = Logger.getLogger(DiscoveryClient.class.getName());
    /** Each second a line is due; two missed ones mean that the connection is dead. */
    private static final long SILENCE_US = 2_500_000;
    /** Of breaks in a row, with nothing heard between. */
    private static final int LOGGED_ONE_IN = 25;

    private final EventLoop loop;
    private final EdgeProxy front;
    private final NioSocketConnector connector;
    private InetSocketAddress address;
    /** The connection in use; what an older one still says is passed over. */
    private Object current;

    private ConnectFuture connecting;
    private IoSession session;
    private EventLoop.Timer again;
    /** When to call again after a break: spread, capped, within a budget. */
    private final ReconnectBackoff calls;
    /** When the connection in use was made. */
    private long madeUs;

    private long heardUs;
    private long breaks;
    private long breaksInRow;
    /** The number after which events were found missing, and asked for again. */
    private long askedAgainFrom = -1;
    /** Whether a beat has said that nothing told before it is missing here; never false again. */
    private boolean caughtUp;

    private boolean heard;

    /**
     * A follower; {@link #start} connects it.
     *
     * @param loop the event thread
     * @param front hears the events
     * @param connector makes connections; its handler is set here
     * @param address the coordinator's
     * @param seed of the jitter of calls after a break; the configuration's, so that fronts differ
     */
    public DiscoveryClient(
            EventLoop loop, EdgeProxy front, NioSocketConnector connector, InetSocketAddress address, long seed) {
        this.calls = new ReconnectBackoff(seed);
        this.loop = loop;
        this.front = front;
        this.connector = connector;
        this.address = address;
        connector.setHandler(new Handler());
    }

    /** Connects, and leaves what was open before; from the event thread. */
    public void start() {
        leave();
        Object mine = new Object();
        current = mine;
        heardUs = loop.now();
        connecting = connector.connect(address, (s, f) -> s.setAttribute("key", mine));
        connecting.addListener(f -> loop.postUrgent(() -> connected(mine, (ConnectFuture) f)));
        watch(mine);
    }

    /**
     * Follows at another address at once, from the last number heard; from the event thread.
     *
     * @param next the coordinator's new address
     */
    public void follow(InetSocketAddress next) {
        address = next;
        start();
    }

    /**
     * Whether the coordinator has said, by its beat, that this front has every event that it held then; from the
     * event thread. Until then, the list of {@code known} may lack a drain or a purge told before this start.
     *
     * @return true from the first such beat on
     */
    public boolean caughtUp() {
        return caughtUp;
    }

    /**
     * Whether the coordinator was heard at all; it tells all that is missing at once when it is called. From the event
     * thread.
     *
     * @return true from its first line on
     */
    public boolean heard() {
        return heard;
    }

    /** Guards against a second connection beside the next one: whatever is open or planned ends. */
    private void leave() {
        current = null;
        if (again != null) {
            again.cancel();
        }
        if (connecting != null) {
            connecting.cancel();
        }
        if (session != null) {
            session.closeNow();
            session = null;
        }
    }

    private void watch(Object mine) {
        loop.at(loop.now() + SILENCE_US / 5, () -> {
            if (current != mine) {
                return;
            }
            if (loop.now() - heardUs > SILENCE_US) {
                broken(mine, "silent");
            } else {
                watch(mine);
            }
        });
    }

    private void connected(Object mine, ConnectFuture future) {
        if (!future.isConnected()) {
            broken(mine, "not reached");
        } else if (current != mine) {
            future.getSession().closeNow();
        } else {
            session = future.getSession();
            madeUs = loop.now();
            session.write(
                    IoBuffer.wrap(("follow " + front.lastEventIndex() + "\n").getBytes(StandardCharsets.US_ASCII)));
        }
    }

    private void broken(Object mine, String why) {
        if (current != mine) {
            return;
        }
        leave();
        breaks++;
        breaksInRow++;
        if (breaksInRow % LOGGED_ONE_IN == 1) {
            LOG.warning("coordinator " + why + ", following again from " + front.lastEventIndex() + ", " + breaks
                    + " so far");
        }
        again = loop.at(loop.now() + calls.broken(loop.now()), this::start);
    }

    private void told(Object mine, DiscoveryEvent event) {
        if (current != mine) {
            return;
        }
        heardUs = loop.now();
        breaksInRow = 0;
        calls.heard(heardUs, madeUs);
        long last = front.lastEventIndex();
        if (event instanceof DiscoveryEvent.Beat
                ? event.index() > last
                : event.index() > last + 1 && askedAgainFrom != last) {
            // Guards against a drain or a purge that was left out. A gap that stays when asked again is no loss.
            askedAgainFrom = last;
            broken(mine, "left out events between " + last + " and " + event.index());
        } else if (event instanceof DiscoveryEvent.Change list
                && list.complete()
                && list.entries().isEmpty()) {
            // Guards the service against a list that fails without an error: the last good one stays.
            broken(mine, "sent an empty list");
        } else if (!(event instanceof DiscoveryEvent.Beat)) {
            heard = true;
            front.onEvent(event);
        } else {
            heard = true;
            caughtUp = true;
        }
    }

    private final class Handler extends IoHandlerAdapter {
        @Override
        public void sessionCreated(IoSession s) {
            s.setAttribute(LineSplitter.class, new LineSplitter());
        }

        @Override
        public void messageReceived(IoSession s, Object message) {
            ByteBuffer bytes = ((IoBuffer) message).buf();
            Object mine = s.getAttribute("key");
            try {
                ((LineSplitter) s.getAttribute(LineSplitter.class)).feed(bytes, line -> line(mine, line));
            } catch (FormatException e) {
                s.closeNow();
                loop.postUrgent(() -> broken(mine, "sent a bad line (" + e.getMessage() + ")"));
            }
        }

        private void line(Object mine, String line) {
            if (!line.isEmpty()) {
                DiscoveryEvent event = DiscoveryEventDecoder.decode(line);
                loop.postUrgent(() -> told(mine, event));
            }
        }

        @Override
        public void sessionClosed(IoSession s) {
            Object mine = s.getAttribute("key");
            loop.postUrgent(() -> broken(mine, "closed the connection"));
        }

        @Override
        public void exceptionCaught(IoSession s, Throwable cause) {
            s.closeNow();
        }
    }
}
