package petrelplank.upstream;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.mina.core.future.DefaultWriteFuture;
import org.apache.mina.core.session.IoSession;
import petrelplank.proxy.Attempt;

/**
 * One connection to a server, from the start of its connect to its close, with the attempts open on it. Attempts sent
 * before it is made wait for that. Event thread only, but for the {@link StallDetector}.
 */
final class UpstreamConnection {
    /** Bytes that a server may leave unread before nothing more is sent to it. */
    private static final long MAX_UNREAD_BYTES = 1 << 20;
    /** A connection is retired once it remembers more aborted requests than this many times its streams. */
    private static final int MAX_ABORTED_PER_STREAM = 4;

    /**
     * An attempt on this connection.
     *
     * @param attempt the attempt
     * @param command its command; null as long as the connection is not made
     */
    record OpenAttempt(Attempt attempt, EncodedCommand command) {}

    private final UpstreamServer server;
    private final int maxStreams;
    private final long createdUs;
    private long lastActivityUs;
    /** It accepts nothing new and is closed once no attempt is open on it; also possible before it is made. */
    private boolean retiring;
    /** Null until the connection is made. */
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

    /** When the server last showed that it is there: when the connection was made, or with a response. */
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

    /** Whether an attempt of the request was sent here before, so that a late response could be to either. */
    boolean hasCarried(String requestId) {
        return open.containsKey(requestId) || history.contains(requestId);
    }

    /** Whether a further attempt may be sent here. */
    boolean accepts(String requestId) {
        return !retiring
                && open.size() < maxStreams
                && !hasCarried(requestId)
                && (session == null || !session.isClosing() && session.getScheduledWriteBytes() < MAX_UNREAD_BYTES);
    }

    /** The connection is made: what waited for it is written. */
    void connected(IoSession newSession, long nowUs) {
        session = newSession;
        lastActivityUs = nowUs;
        List<Attempt> waiting = new ArrayList<>();
        open.values().forEach(held -> waiting.add(held.attempt()));
        waiting.forEach(attempt -> write(attempt, nowUs));
    }

    /** Responses were received. */
    void responseReceived(long nowUs) {
        lastActivityUs = nowUs;
        server.responseReceived();
    }

    /** Sends an attempt, at once or when the connection is made. */
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
     * Gives an attempt up. A command not written yet never is; one written in part, as where the server reads nothing,
     * can't be taken back and would be completed later: then the connection is closed.
     *
     * @param onAbortWritten run in the I/O thread once the abort is written; never where the connection closes before
     * @return whether an abort waits to be written, or the connection is being closed: until then the attempt is in
     *     flight
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
        // MINA reports a write as done also where it drops it because the connection is being closed.
        future.addListener(completed -> {
            if (command.isFullyWritten(session)) {
                onWritten.run();
            }
        });
        session.getFilterChain().fireFilterWrite(command);
    }

    /** Takes back an attempt of which nothing has been written; false where its writing may have begun. */
    boolean withdraw(Attempt attempt) {
        OpenAttempt held = open.get(attempt.request().id());
        if (held == null || session != null && !held.command().withdraw()) {
            return false;
        }
        open.remove(attempt.request().id());
        return true;
    }

    /** Removes an answered attempt; null where none is open under the id. */
    Attempt removeAnswered(String requestId) {
        OpenAttempt held = open.remove(requestId);
        return held == null ? null : held.attempt();
    }

    /** Keeps retries of a request off this connection, where a second response to its last attempt may still come. */
    void refuseRetriesOf(String requestId) {
        history.addAnswered(requestId);
    }

    /** Removes all attempts, in the order in which they were sent. */
    List<OpenAttempt> removeAll() {
        List<OpenAttempt> all = new ArrayList<>(open.values());
        open.clear();
        return all;
    }

    /** Whether any byte of an attempt's command may have been written: otherwise it can't have been executed. */
    boolean mayHaveExecuted(OpenAttempt held) {
        return session != null && held.command().isPartlyWritten(session);
    }

    /** Accepts nothing new from now on, and closes once no attempt is open. */
    void retire() {
        retiring = true;
        closeIfDone();
    }

    /** Closes the connection where it is retiring and no attempt is open on it. */
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
