package petrelplank.fastcgi;

import petrelplank.proxy.EdgeProxy;
import petrelplank.proxy.EventLoop;
import petrelplank.transport.BoundedAcceptor;

/**
 * What the connections of one listener share.
 *
 * @param loop the event thread
 * @param proxy takes the requests
 * @param acceptor accepts connections
 * @param decoder decodes requests
 * @param memory what requests and unread responses may take
 * @param faults counts faults of clients; of the event thread
 * @param status whether the listener is ready, and how many connections are being closed
 * @param maxConnections the most connections that clients may hold
 */
record ListenerContext(
        EventLoop loop,
        EdgeProxy proxy,
        BoundedAcceptor acceptor,
        RequestDecoder decoder,
        ListenerMemory memory,
        ClientFaultLog faults,
        ListenerStatus status,
        int maxConnections) {}
