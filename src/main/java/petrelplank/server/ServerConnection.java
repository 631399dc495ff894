package petrelplank.server;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.IoSession;
import petrelplank.front.Attempt;

/** One connection to a server, from its first use to its close, with what is open on it. Event thread only. */
final class ServerConnection {
    /** Bytes that a peer may leave unread before nothing more is written to it. */
    private static final long MOST_UNREAD = 1 << 20;

    /** An attempt on this connection, and where its command starts in the bytes written. */
    record Open(Attempt attempt, long startsAt) { }

    final Server server;
    final long createdUs;
    long heardUs;
    /** It takes nothing new and is closed once nothing is open on it. */
    boolean retiring;
    private IoSession session;
    private final Map<String, Open> open = new LinkedHashMap<>();
    /** Ids given up here: a late answer to one must not pass for the answer to a further attempt. */
    private final Set<String> aborted = new LinkedHashSet<>();
    private final int streams;
    private long queuedBytes;
    /** Bytes read in all, where an answer has begun and not ended; else 0. Written by the I/O thread. */
    volatile long insideAt;
    private long insideSeen;
    private int insideSweeps;

    ServerConnection(Server server, int streams, long createdUs) {
        this.server = server;
        this.streams = streams;
        this.createdUs = createdUs;
        this.heardUs = createdUs;
    }

    boolean takes(String id) {
        return !retiring && open.size() < streams && !open.containsKey(id) && !aborted.contains(id)
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
            open.put(attempt.fetch().id(), new Open(attempt, 0));
        } else {
            write(attempt, now);
        }
    }

    private void write(Attempt attempt, long now) {
        byte[] command = CommandEncoder.fetch(attempt.fetch(), attempt.limitMs(now));
        open.put(attempt.fetch().id(), new Open(attempt, queuedBytes));
        write(command);
    }

    private void write(byte[] command) {
        queuedBytes += command.length;
        session.write(IoBuffer.wrap(command));
    }

    void abort(Attempt attempt) {
        String id = attempt.fetch().id();
        open.remove(id);
        if (session != null) {
            aborted.add(id);
            if (aborted.size() > 4 * streams) {
                retiring = true;
            }
            write(CommandEncoder.abort(id));
        }
    }

    /** Takes an answered attempt off; null where none is open under the id. */
    Attempt answered(String id) {
        Open held = open.remove(id);
        return held == null ? null : held.attempt();
    }

    /** Takes all attempts off. */
    List<Open> drop() {
        List<Open> all = new ArrayList<>(open.values());
        open.clear();
        return all;
    }

    /** Whether the connection was ever made. */
    boolean reached() {
        return session != null;
    }

    /** Whether any byte of a command may have gone out: what was never written at all can't have run. */
    boolean written(Open held) {
        return session != null && session.getWrittenBytes() > held.startsAt();
    }

    void close() {
        if (session != null) {
            session.closeNow();
        }
    }
}
