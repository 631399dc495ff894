package petrelplank.fastcgi;

import java.util.Map;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.IoSession;
import petrelplank.fastcgi.FastCgiRecord.ProtocolStatus;
import petrelplank.proxy.ClientRequest;
import petrelplank.proxy.ClientResponse;
import petrelplank.proxy.EventLoop;
import petrelplank.transport.SendQueues;

/** A connection from a web server. The I/O thread reads its records; the event thread writes most responses. */
final class FastCgiConnection implements RequestAssembler.Listener {
    /** How long the client has to close a connection after the proxy has shut down its sending side. */
    private static final long LINGER_TIMEOUT_US = 1_000_000;

    private static final String HEALTH_SCRIPT_NAME = "/_health";

    private final ListenerContext context;
    private final EventLoop loop;
    private final IoSession session;
    private final RecordParser parser = new RecordParser();
    private final RequestAssembler assembler;
    private final OpenRequests openRequests = new OpenRequests();
    private final ConnectionActivity activity;
    private final ResponseDelivery delivery;
    private final ConnectionOutput output;
    private final IdleConnectionCloser idleCloser;
    /** Whether the input violated the protocol; further input is then ignored. Used by the I/O thread only. */
    private boolean protocolViolated;
    /** When the sending side was shut down; 0 while it is open. Written by the I/O thread. */
    private volatile long outputShutdownUs;

    FastCgiConnection(ListenerContext context, IoSession session) {
        this.context = context;
        this.session = session;
        this.loop = context.loop();
        this.assembler = new RequestAssembler(this, context.requestMemory());
        this.activity = new ConnectionActivity(loop, context.acceptor());
        this.delivery = new ResponseDelivery(session);
        this.output = new ConnectionOutput(context, session, delivery);
        this.idleCloser = new IdleConnectionCloser(session, context, activity);
    }

    /** Whether the connection has no open requests and no unsent bytes. */
    boolean isUnused() {
        return openRequests.isEmpty() && session.getScheduledWriteBytes() == 0;
    }

    ResponseDelivery delivery() {
        return delivery;
    }

    /**
     * Whether the connection has no open requests, and all responses are known to have reached the client's system, so
     * that a close cannot discard them.
     */
    private boolean isSettled() {
        return openRequests.isEmpty() && delivery.isComplete();
    }

    /** Whether the connection may be closed to make room: it is settled, and its first request would have arrived. */
    boolean isEvictable(long nowUs) {
        // The order matters: a request is added to the open requests before it counts as received, so isSettled() sees
        // a first request that arrives during these checks.
        return idleCloser.isOpen() && activity.isFirstRequestReceivedOrOverdue(nowUs) && isSettled();
    }

    /**
     * Whether the connection has been idle, or a request on it incomplete, for too long, or has not been closed by the
     * client in time after its sending side was shut down. Responses on it may still be undelivered.
     */
    boolean isTimedOut(long nowUs) {
        if (outputShutdownUs > 0) {
            return nowUs - Math.max(outputShutdownUs, activity.lastUsedUs()) > LINGER_TIMEOUT_US;
        }
        boolean timedOut = activity.isTimedOut(nowUs);
        return openRequests.isEmpty() && timedOut;
    }

    /** Whether the client has accepted none of its undelivered responses for this time; see {@link ResponseDelivery}. */
    boolean isStalledFor(long durationUs) {
        return openRequests.isEmpty() && delivery.isStalledFor(durationUs);
    }

    long lastUsedUs() {
        return activity.lastUsedUs();
    }

    /** Records what the kernel's list says of the bytes that had been written before it was read. */
    void onDeliveryChecked(long writtenBytes, SendQueues queues) {
        switch (delivery.onChecked(writtenBytes, queues, loop.nowUs())) {
            case WAITING_STARTED -> context.closeLog().countDelayedClose();
            case WAITING_ENDED -> activity.onResponsesDelivered();
            case UNCHANGED -> {}
        }
    }

    /** Closes the connection unless a request arrives meanwhile; see {@link IdleConnectionCloser#requestClose}. */
    void closeIfIdle(IdleConnectionCloser.Reason reason) {
        idleCloser.requestClose(reason, this::isSettled);
    }

    /** Closes the connection once all responses are written: what is undelivered as the process ends stays so. */
    void closeForShutdown() {
        idleCloser.requestClose(IdleConnectionCloser.Reason.IDLE, this::isUnused);
    }

    /** Resets the connection unless its client has read or sent something meanwhile; see {@link #isStalledFor}. */
    void resetIfStalled(long durationUs) {
        idleCloser.requestClose(
                IdleConnectionCloser.Reason.STALLED, () -> isStalledFor(durationUs) && delivery.discardOnClose());
    }

    /** Closes a timed-out connection on which all responses are delivered. */
    void closeTimedOut() {
        if (outputShutdownUs > 0) {
            session.closeNow();
        } else {
            closeIfIdle(IdleConnectionCloser.Reason.IDLE);
        }
    }

    /**
     * Shuts down the sending side once all responses are written. Closing the socket at once could reset the
     * connection, and responses in transit would be lost.
     */
    void closeAfterResponses() {
        context.acceptor().shutdownOutput(session, () -> {
            if (isUnused()) {
                outputShutdownUs = loop.clockUs();
            }
            return outputShutdownUs > 0;
        });
    }

    /** Processes bytes that were read. Called by the I/O thread. */
    void onBytesRead(IoBuffer bytes) {
        if (protocolViolated || outputShutdownUs > 0) {
            return;
        }
        try {
            parser.feed(bytes.buf(), assembler::accept);
            activity.onBytesRead(parser.isInsideRecord() || assembler.isInsideRequest());
        } catch (ProtocolViolationException e) {
            protocolViolated = true;
            assembler.close();
            closeAfterResponses();
            loop.post(() -> context.closeLog().countMalformedInput(e));
        }
    }

    /** Releases the requests of the connection after it was closed. Called by the I/O thread. */
    void onClosed() {
        if (idleCloser.onClosed()) {
            loop.post(() -> context.closeLog().countIdleClose(idleCloser.reason(), delivery));
        }
        assembler.close();
        openRequests.forEachId(this::onAbort);
    }

    @Override
    public void onRequest(int id, boolean keepConnection, Map<String, String> params, byte[] body, int heldBytes) {
        String requestId = params.getOrDefault(RequestDecoder.REQUEST_ID, "");
        HeldMemory heldMemory = context.requestMemory().hold(heldBytes, body.length);
        FastCgiResponseChannel channel =
                new FastCgiResponseChannel(this, openRequests, id, keepConnection, requestId, heldMemory);
        openRequests.add(id, channel);
        activity.onRequestReceived();
        if (params.getOrDefault(RequestDecoder.SCRIPT_NAME, "").equals(HEALTH_SCRIPT_NAME)) {
            channel.sendResponse(
                    context.status().isReady()
                            ? ClientResponse.of(ClientResponse.Kind.SERVED)
                            : ClientResponse.rejected(0));
            channel.requestReleased();
        } else {
            dispatch(params, body, channel);
        }
    }

    private void dispatch(Map<String, String> params, byte[] body, FastCgiResponseChannel channel) {
        ClientRequest request;
        try {
            request = context.decoder().decode(params, body);
        } catch (InvalidRequestException e) {
            channel.sendResponse(ClientResponse.of(ClientResponse.Kind.BAD_REQUEST));
            channel.requestReleased();
            return;
        }
        long arrivedUs = context.acceptor().unreadSinceUs();
        loop.post(() -> context.proxy().handle(request, channel, arrivedUs));
    }

    @Override
    public void onAbort(int id) {
        FastCgiResponseChannel channel = openRequests.remove(id);
        if (channel != null) {
            loop.post(() -> context.proxy().clientDisconnected(channel.requestId(), channel));
        }
    }

    @Override
    public boolean isRequestOpen(int id) {
        return openRequests.contains(id);
    }

    @Override
    public int openRequestCount() {
        return openRequests.size();
    }

    @Override
    public void onRejected(int id, ProtocolStatus status, boolean keepConnection) {
        output.write(RecordEncoder.encodeEndRequest(id, status));
        if (!keepConnection) {
            closeAfterResponses();
        }
    }

    @Override
    public void onManagementRecord(FastCgiRecord record) {
        output.write(ManagementRecords.encodeReply(record, context.maxConnections()));
    }

    /** Whether a response of this length may wait for its client to read it. */
    boolean hasRoomFor(int responseBytes) {
        return output.hasRoomFor(responseBytes);
    }

    /** Writes the response to a request that has been removed from the open requests. */
    void writeResponse(int id, ClientResponse response) {
        byte[] bytes = RecordEncoder.encodeResponse(id, response);
        activity.onResponseSent(bytes.length);
        output.write(bytes);
    }
}
