package petrelplank.upstream;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.mina.core.future.DefaultWriteFuture;
import org.apache.mina.core.session.IoSession;
import petrelplank.proxy.Attempt;

/**
 * A connection to an upstream server and its open attempts, from the start of the connect until the connection closes.
 * Attempts sent before it is established are written as soon as it is. Event thread only, except for the
 * {@link StallDetector}.
 */
final class UpstreamConnection {
    /** Unwritten bytes at which no further attempt is sent on the connection: the server reads too slowly. */
    private static final long MAX_UNREAD_BYTES = 1 << 20;
    /** A connection is retired if its aborted requests exceed this multiple of the maximum of open attempts. */
    private static final int MAX_ABORTED_PER_STREAM = 4;

    /**
     * An attempt that was sent on this connection and has not ended.
     *
     * @param attempt the attempt
     * @param command its command; null until the connection is established
     */
    record OpenAttempt(Attempt attempt, EncodedCommand command) {}

    private final UpstreamServer server;
    private final int maxStreams;
    private final long createdUs;
    private long lastActivityUs;
    /**
     * Whether the connection accepts no further attempts and closes once none is open. This may be set before the
     * connection is established.
     */
    private boolean retiring;
    /** Null until the connection is established. */
    private IoSession session;

    private final Map<String, OpenAttempt> open = new LinkedHashMap<>();
    private final RequestIdHistory history = new RequestIdHistory();
    private final StallDetector stallDetector = new StallDetector();

    UpstreamConnection(UpstreamServer server, int maxStreams, long createdUs) {
        this.server = server;
        this.maxStreams = maxStreams;
        this.createdUs = createdUs;
        this.lastActivityUs = createdUs;
    }

    UpstreamServer server() {
        return server;
    }

    long createdUs() {
        return createdUs;
    }

    /** Returns when the server last responded or, before that, when the connection was established. */
    long lastActivityUs() {
        return lastActivityUs;
    }

    StallDetector stallDetector() {
        return stallDetector;
    }

    boolean isRetiring() {
        return retiring;
    }

    boolean isIdle() {
        return open.isEmpty();
    }

    int openCount() {
        return open.size();
    }

    /**
     * Returns whether an attempt of the request was already sent on this connection, so that a late response to it
     * could be taken for the response to another attempt.
     */
    boolean hasCarried(String requestId) {
        return open.containsKey(requestId) || history.contains(requestId);
    }

    /** Returns whether an attempt of the request may be sent on this connection. */
    boolean accepts(String requestId) {
        return !retiring
                && open.size() < maxStreams
                && !hasCarried(requestId)
                && (session == null || !session.isClosing() && session.getScheduledWriteBytes() < MAX_UNREAD_BYTES);
    }

    /** Called when the connection is established: writes the attempts that were sent before. */
    void connected(IoSession newSession, long nowUs) {
        session = newSession;
        lastActivityUs = nowUs;
        List<Attempt> waiting = new ArrayList<>();
        open.values().forEach(held -> waiting.add(held.attempt()));
        waiting.forEach(attempt -> write(attempt, nowUs));
    }

    /** Called when at least one response was received. */
    void responseReceived(long nowUs) {
        lastActivityUs = nowUs;
        server.responseReceived();
    }

    /** Sends an attempt at once, or as soon as the connection is established. */
    void send(Attempt attempt, long nowUs) {
        if (session == null) {
            open.put(attempt.request().id(), new OpenAttempt(attempt, null));
        } else {
            write(attempt, nowUs);
        }
    }

    private void write(Attempt attempt, long nowUs) {
        byte[] bytes = CommandEncoder.fetch(attempt.request(), attempt.remainingMs(nowUs));
        EncodedCommand command = new EncodedCommand(bytes, null, attempt::isAwaited);
        open.put(attempt.request().id(), new OpenAttempt(attempt, command));
        session.getFilterChain().fireFilterWrite(command);
    }

    /**
     * Aborts an attempt. If its command is still queued, it is withdrawn and never written. If the command was written
     * in part, for example because the server does not read, the rest would still be written later; the connection is
     * closed to prevent that. If it was written completely, an abort command is sent.
     *
     * @param attempt the attempt
     * @param onAbortWritten run on the I/O thread once the abort is written; not run if the connection closes first
     * @return whether the attempt is still in flight, until the abort is written or the connection has closed
     */
    boolean abort(Attempt attempt, Runnable onAbortWritten) {
        String requestId = attempt.request().id();
        if (withdraw(attempt) || !open.containsKey(requestId)) {
            return false;
        }
        OpenAttempt aborted = open.remove(requestId);
        if (!aborted.command().isFullyWritten(session)) {
            close();
            return true;
        }
        history.addAborted(requestId);
        if (history.abortedCount() > MAX_ABORTED_PER_STREAM * maxStreams) {
            retiring = true;
        }
        writeAbort(requestId, onAbortWritten);
        return true;
    }

    private void writeAbort(String requestId, Runnable onWritten) {
        DefaultWriteFuture future = new DefaultWriteFuture(session);
        EncodedCommand command = new EncodedCommand(CommandEncoder.abort(requestId), future, () -> true);
        stallDetector.abortQueued();
        // MINA also completes the future if it drops the write because the connection is being closed.
        future.addListener(completed -> {
            if (command.isFullyWritten(session)) {
                onWritten.run();
            }
        });
        session.getFilterChain().fireFilterWrite(command);
    }

    /**
     * Removes an attempt if no byte of its command has been written.
     *
     * @return false if the attempt is not open, or if part of its command may have been written
     */
    boolean withdraw(Attempt attempt) {
        OpenAttempt held = open.get(attempt.request().id());
        if (held == null || session != null && !held.command().withdraw()) {
            return false;
        }
        open.remove(attempt.request().id());
        return true;
    }

    /** Removes the attempt that a response belongs to; returns null if no attempt of the request is open. */
    Attempt removeAnswered(String requestId) {
        OpenAttempt held = open.remove(requestId);
        return held == null ? null : held.attempt();
    }

    /** Prevents retries of a request on this connection: a duplicate response to its last attempt may still arrive. */
    void refuseRetriesOf(String requestId) {
        history.addAnswered(requestId);
    }

    /** Removes and returns all open attempts, in the order in which they were sent. */
    List<OpenAttempt> removeAll() {
        List<OpenAttempt> all = new ArrayList<>(open.values());
        open.clear();
        return all;
    }

    /**
     * Returns whether the server may have executed an attempt: at least one byte of its command may have been written.
     */
    boolean mayHaveExecuted(OpenAttempt held) {
        return session != null && held.command().isPartlyWritten(session);
    }

    /** Accepts no further attempts from now on, and closes the connection once no attempt is open. */
    void retire() {
        retiring = true;
        closeIfDone();
    }

    /** Closes the connection if it is being retired and no attempt is open. */
    void closeIfDone() {
        if (retiring && isIdle()) {
            close();
        }
    }

    void close() {
        if (session != null) {
            session.closeNow();
        }
    }
}
