package petrelplank.fastcgi;

import java.util.concurrent.atomic.AtomicInteger;
import petrelplank.proxy.EdgeProxy;
import petrelplank.proxy.EventLoop;
import petrelplank.transport.BoundedAcceptor;

/** What the connections of one listener share. */
final class ListenerContext {
    private final EventLoop loop;
    private final EdgeProxy proxy;
    private final BoundedAcceptor acceptor;
    private final RequestDecoder decoder;
    private final ClientFaultLog faults;
    private final ListenerMemory memory;
    private final int maxConnections;
    /** Connections whose idle close was requested, and that were neither closed nor kept since. */
    private final AtomicInteger closing = new AtomicInteger();

    private volatile boolean ready;

    ListenerContext(
            EventLoop loop,
            EdgeProxy proxy,
            BoundedAcceptor acceptor,
            RequestDecoder decoder,
            ListenerMemory memory,
            int maxConnections) {
        this.loop = loop;
        this.proxy = proxy;
        this.acceptor = acceptor;
        this.decoder = decoder;
        this.memory = memory;
        this.maxConnections = maxConnections;
        this.faults = new ClientFaultLog(maxConnections);
    }

    EventLoop loop() {
        return loop;
    }

    EdgeProxy proxy() {
        return proxy;
    }

    BoundedAcceptor acceptor() {
        return acceptor;
    }

    RequestDecoder decoder() {
        return decoder;
    }

    ClientFaultLog faults() {
        return faults;
    }

    ListenerMemory memory() {
        return memory;
    }

    int maxConnections() {
        return maxConnections;
    }

    AtomicInteger closing() {
        return closing;
    }

    /** What health requests are answered. */
    boolean isReady() {
        return ready;
    }

    void ready(boolean now) {
        ready = now;
    }
}
