package petrelplank.upstream;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.mina.core.future.DefaultWriteFuture;
import org.apache.mina.core.session.IoSession;
import petrelplank.proxy.Attempt;

/** One connection to a server, from its first use to its close, with what is open on it. Event thread only. */
final class UpstreamConnection {
    /** Bytes that a peer may leave unread before nothing more is written to it. */
    private static final long MOST_UNREAD = 1 << 20;

    /** Ids of answered attempts that are remembered: a doubled answer comes some milliseconds behind the first. */
    private static final int ANSWERED_KEPT = 256;

    /** An attempt on this connection, and its command; null as long as the connection is not made. */
    record Open(Attempt attempt, EncodedCommand command) {}

    final UpstreamServer server;
    final long createdUs;
    long heardUs;
    /** It takes nothing new and is closed once nothing is open on it. */
    boolean retiring;

    private IoSession session;
    private final Map<String, Open> open = new LinkedHashMap<>();
    /** Ids given up here: a late answer to one must not pass for the answer to a further attempt. */
    private final Set<String> aborted = new LinkedHashSet<>();
    /** Ids that no retry is sent under here: a second answer to the last attempt must not pass for its own. */
    private final Set<String> answered = new LinkedHashSet<>();

    private final int streams;
    /** Aborts that are not known to have been written. */
    private int unwrittenAborts;

    private int abortSweeps;
    /** Bytes read in all, where an answer has begun and not ended; else 0. Written by the I/O thread. */
    volatile long insideAt;

    private long insideSeen;
    private int insideSweeps;

    UpstreamConnection(UpstreamServer server, int streams, long createdUs) {
        this.server = server;
        this.streams = streams;
        this.createdUs = createdUs;
        this.heardUs = createdUs;
    }

    /** Whether an attempt under the id was sent on this connection before, so that a late answer could be of either. */
    boolean carried(String id) {
        return open.containsKey(id) || aborted.contains(id) || answered.contains(id);
    }

    boolean takes(String id) {
        return !retiring
                && open.size() < streams
                && !carried(id)
                && (session == null || !session.isClosing() && session.getScheduledWriteBytes() < MOST_UNREAD);
    }

    int load() {
        return open.size();
    }

    boolean idle() {
        return open.isEmpty();
    }

    /**
     * Whether an answer has stood half read, with no byte more, over a number of sweeps. Sweeps are counted, not
     * time: a process that was held up itself must not take the bytes it has not read yet for missing.
     */
    boolean stuck(int sweeps) {
        long at = insideAt;
        insideSweeps = at > 0 && at == insideSeen ? insideSweeps + 1 : 0;
        insideSeen = at;
        return insideSweeps >= sweeps;
    }

    void connected(IoSession made, long now) {
        session = made;
        heardUs = now;
        List<Attempt> waiting = new ArrayList<>();
        open.values().forEach(o -> waiting.add(o.attempt()));
        waiting.forEach(a -> write(a, now));
    }

    void send(Attempt attempt, long now) {
        if (session == null) {
            open.put(attempt.request().id(), new Open(attempt, null));
        } else {
            write(attempt, now);
        }
    }

    private void write(Attempt attempt, long now) {
        EncodedCommand command = new EncodedCommand(
                CommandEncoder.fetch(attempt.request(), attempt.limitMs(now)), null, attempt::isAwaited);
        open.put(attempt.request().id(), new Open(attempt, command));
        session.getFilterChain().fireFilterWrite(command);
    }

    /**
     * Gives an attempt up. A command that was not written yet never will be; one that stands half written, as where the
     * server reads nothing, can't be taken back and would go out whole later: then the connection is closed.
     *
     * @param written told in the I/O thread that the abort is written; never where the connection closes before
     * @return whether an abort waits to be written, or the connection is being closed: until then the attempt is out
     */
    boolean abort(Attempt attempt, Runnable written) {
        String id = attempt.request().id();
        if (withdraw(attempt) || !open.containsKey(id)) {
            return false;
        }
        Open held = open.remove(id);
        if (!held.command().whole(session)) {
            close();
            return true;
        }
        aborted.add(id);
        if (aborted.size() > 4 * streams) {
            retiring = true;
        }
        DefaultWriteFuture future = new DefaultWriteFuture(session);
        EncodedCommand command = new EncodedCommand(CommandEncoder.abort(id), future, () -> true);
        unwrittenAborts++;
        // MINA tells of writes as done, too, where it drops them since the connection is being closed.
        future.addListener(f -> {
            if (command.whole(session)) {
                written.run();
            }
        });
        session.getFilterChain().fireFilterWrite(command);
        return true;
    }

    /** Takes back an attempt of which nothing has been written; false where its writing may have begun. */
    boolean withdraw(Attempt attempt) {
        Open held = open.get(attempt.request().id());
        if (held == null || session != null && !held.command().withdraw()) {
            return false;
        }
        open.remove(attempt.request().id());
        return true;
    }

    /** An abort was written. */
    void abortEnded() {
        unwrittenAborts--;
    }

    /** Whether an abort has waited to be written over a number of sweeps: the server reads nothing. */
    boolean blocked(int sweeps) {
        abortSweeps = unwrittenAborts > 0 ? abortSweeps + 1 : 0;
        return abortSweeps >= sweeps;
    }

    /** Takes an answered attempt off; null where none is open under the id. */
    Attempt answered(String id) {
        Open held = open.remove(id);
        return held == null ? null : held.attempt();
    }

    /** Keeps a retry of a request off this connection, where a second answer to its last attempt may still come. */
    void keepRetryOff(String id) {
        if (answered.add(id) && answered.size() > ANSWERED_KEPT) {
            answered.remove(answered.iterator().next());
        }
    }

    /** Takes all attempts off. */
    List<Open> drop() {
        List<Open> all = new ArrayList<>(open.values());
        open.clear();
        return all;
    }

    /** Whether any byte of a command may have gone out: what was never written at all can't have run. */
    boolean written(Open held) {
        return session != null && held.command().begun(session);
    }

    /** It takes nothing new from now on. */
    void retire() {
        retiring = true;
        closeWhenDone();
    }

    /** Closes it where it takes nothing new and nothing is open on it. */
    void closeWhenDone() {
        if (retiring && idle()) {
            close();
        }
    }

    void close() {
        if (session != null) {
            session.closeNow();
        }
    }
}
