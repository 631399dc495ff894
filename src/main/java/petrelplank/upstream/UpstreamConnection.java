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
    private static final long MAX_UNWRITTEN_BYTES = 1 << 20;
    /** A connection is retired if its aborted requests exceed this multiple of the maximum of open attempts. */
    private static final int ABORTED_LIMIT_FACTOR = 4;

    /**
     * An attempt that was sent on this connection and has not ended.
     *
     * @param attempt the attempt
     * @param command its command; null until the connection is established
     */
    record OpenAttempt(Attempt attempt, EncodedCommand command) {}

    private final UpstreamServer server;
    private final int maxOpenAttempts;
    private final long createdUs;
    private final WriteCheck writeCheck;
    private long lastActivityUs;
    /**
     * Whether the connection accepts no further attempts and closes once none is open. This may be set before the
     * connection is established.
     */
    private boolean retiring;
    /** Null until the connection is established. */
    private IoSession session;

    private final Map<String, OpenAttempt> openAttempts = new LinkedHashMap<>();
    private final RequestIdHistory requestIdHistory = new RequestIdHistory();
    private final StallDetector stallDetector = new StallDetector();

    UpstreamConnection(UpstreamServer server, int maxOpenAttempts, long createdUs, WriteCheck writeCheck) {
        this.server = server;
        this.maxOpenAttempts = maxOpenAttempts;
        this.createdUs = createdUs;
        this.writeCheck = writeCheck;
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
        return openAttempts.isEmpty();
    }

    int openCount() {
        return openAttempts.size();
    }

    /**
     * Returns whether an attempt of the request was already sent on this connection, so that a late response to it
     * could be taken for the response to another attempt.
     */
    boolean hasSent(String requestId) {
        return openAttempts.containsKey(requestId) || requestIdHistory.contains(requestId);
    }

    /** Returns whether an attempt of the request may be sent on this connection. */
    boolean accepts(String requestId) {
        return !retiring
                && openAttempts.size() < maxOpenAttempts
                && !hasSent(requestId)
                && (session == null || !session.isClosing() && session.getScheduledWriteBytes() < MAX_UNWRITTEN_BYTES);
    }

    /** Called when the connection is established: writes the attempts that were sent before. */
    void connected(IoSession newSession, long nowUs) {
        session = newSession;
        lastActivityUs = nowUs;
        List<Attempt> unsent = new ArrayList<>();
        openAttempts.values().forEach(openAttempt -> unsent.add(openAttempt.attempt()));
        unsent.forEach(attempt -> write(attempt, nowUs));
    }

    /** Called when at least one response was received. */
    void responseReceived(long nowUs) {
        lastActivityUs = nowUs;
        server.responseReceived();
    }

    /** Sends an attempt at once, or as soon as the connection is established. */
    void send(Attempt attempt, long nowUs) {
        if (session == null) {
            openAttempts.put(attempt.request().id(), new OpenAttempt(attempt, null));
        } else {
            write(attempt, nowUs);
        }
    }

    private void write(Attempt attempt, long nowUs) {
        byte[] bytes = CommandEncoder.encodeFetch(attempt.request(), attempt.remainingMs(nowUs));
        EncodedCommand command = new EncodedCommand(
                bytes, null, () -> writeCheck.mayBeWritten(attempt), () -> writeCheck.skipped(this, attempt));
        openAttempts.put(attempt.request().id(), new OpenAttempt(attempt, command));
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
        if (withdraw(attempt) || !openAttempts.containsKey(requestId)) {
            return false;
        }
        OpenAttempt aborted = openAttempts.remove(requestId);
        if (!aborted.command().isFullyWritten(session)) {
            close();
            return true;
        }
        requestIdHistory.addAborted(requestId);
        if (requestIdHistory.abortedCount() > ABORTED_LIMIT_FACTOR * maxOpenAttempts) {
            retiring = true;
        }
        writeAbort(requestId, onAbortWritten);
        return true;
    }

    private void writeAbort(String requestId, Runnable onWritten) {
        DefaultWriteFuture future = new DefaultWriteFuture(session);
        EncodedCommand command =
                new EncodedCommand(CommandEncoder.encodeAbort(requestId), future, () -> true, () -> {});
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
        OpenAttempt openAttempt = openAttempts.get(attempt.request().id());
        if (openAttempt == null || session != null && !openAttempt.command().withdraw()) {
            return false;
        }
        openAttempts.remove(attempt.request().id());
        return true;
    }

    /** Whether no byte of an open attempt has been written, though its command may have been taken for writing. */
    boolean isUnwritten(Attempt attempt) {
        OpenAttempt openAttempt = openAttempts.get(attempt.request().id());
        return openAttempt != null && openAttempt.attempt() == attempt && !mayHaveExecuted(openAttempt);
    }

    /** Whether the command of an open attempt has been written completely. */
    boolean isWritten(Attempt attempt) {
        OpenAttempt openAttempt = openAttempts.get(attempt.request().id());
        return session != null && openAttempt != null && openAttempt.command().isFullyWritten(session);
    }

    /** Removes the attempt that a response belongs to; returns null if no attempt of the request is open. */
    Attempt removeAnswered(String requestId) {
        OpenAttempt openAttempt = openAttempts.remove(requestId);
        return openAttempt == null ? null : openAttempt.attempt();
    }

    /** Prevents retries of a request on this connection: a duplicate response to its last attempt may still arrive. */
    void refuseRetriesOf(String requestId) {
        requestIdHistory.addAnswered(requestId);
    }

    /** Removes and returns all open attempts, in the order in which they were sent. */
    List<OpenAttempt> removeAll() {
        List<OpenAttempt> all = new ArrayList<>(openAttempts.values());
        openAttempts.clear();
        return all;
    }

    /**
     * Returns whether the server may have executed an attempt: at least one byte of its command may have been written.
     */
    boolean mayHaveExecuted(OpenAttempt openAttempt) {
        return session != null && openAttempt.command().isPartlyWritten(session);
    }

    /** Accepts no further attempts from now on, and closes the connection once no attempt is open. */
    void retire() {
        retiring = true;
        closeIfDrained();
    }

    /** Closes the connection if it is being retired and no attempt is open. */
    void closeIfDrained() {
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
