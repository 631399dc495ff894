package petrelplank.analysis;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import petrelplank.record.Entry;
import petrelplank.record.Event;
import petrelplank.record.StoredNames;
import petrelplank.routing.AttemptStatus;

/**
 * Folds entries into the course of an incident. Whatever order they come in, and however often one comes, the state
 * is the same: each entry is counted once by its number, sums are of whole numbers, and what depends on what else was
 * told is worked out when it is read. One thread.
 */
public final class RecordAggregator {
    private final Map<String, Incarnation> lives = new TreeMap<>();
    private final Map<String, EndpointStatistics> peers = new TreeMap<>();
    private long entries;
    private long doubled;

    /** Nothing is known yet. */
    public RecordAggregator() {}

    /**
     * Takes an entry.
     *
     * @param e the entry
     */
    public void add(Entry e) {
        Incarnation life = lives.computeIfAbsent(
                e.proxy() + " " + String.format("%016x", e.incarnation()),
                k -> new Incarnation(e.proxy(), e.incarnation()));
        if (!life.first(e.number(), e.unixUs())) {
            doubled++;
            return;
        }
        entries++;
        take(life, e.unixUs(), e.event());
    }

    private EndpointStatistics peer(String id) {
        return peers.computeIfAbsent(id, EndpointStatistics::new);
    }

    private void take(Incarnation life, long us, Event event) {
        if (event instanceof Event.AttemptSent s) {
            peer(s.server()).sent(us);
            life.sends.computeIfAbsent(s.server(), i -> new LongTable(1)).add(us);
            if (s.source() != null && !s.source().equals(s.server())) {
                life.sends.computeIfAbsent(s.source(), i -> new LongTable(1)).add(us);
            }
        } else if (event instanceof Event.AttemptEnded e) {
            ended(life, us, e);
        } else if (event instanceof Event.RequestAdmitted t) {
            life.sums(us, t.serviceClass()).asked++;
            life.owes(t.request(), 1);
        } else if (event instanceof Event.RequestCompleted a) {
            RequestTotals s = life.sums(us, a.serviceClass());
            s.finals[a.kind().ordinal()]++;
            s.inTime += a.withinObjective() ? 1 : 0;
            s.earnedMicro += RequestTotals.micro(a.earnedWeight());
            life.owes(a.request(), -1);
            if (a.reason() != null) {
                life.givenUp.merge(StoredNames.of(a.reason()), 1L, Long::sum);
            }
        } else if (event instanceof Event.ClientDisconnected l) {
            life.owes(l.request(), -1);
        } else if (event instanceof Event.RequestRejected t) {
            life.turnedAway.merge(StoredNames.of(t.kind()), 1L, Long::sum);
        } else if (event instanceof Event.ProxyStarted s) {
            life.started = s;
            life.startedUs = us;
        } else if (event instanceof Event.EndpointsChanged l) {
            life.listed(l, us);
        } else if (event instanceof Event.Purged p) {
            life.purges.put(p.index(), p);
            life.purgeToldUs.merge(p.index(), us, Math::min);
        } else if (event instanceof Event.EndpointEjected j) {
            life.health.computeIfAbsent(j.server(), i -> new LongTable(2)).add(us, 1);
        } else if (event instanceof Event.EndpointRecovered r) {
            life.health.computeIfAbsent(r.server(), i -> new LongTable(2)).add(us, 0);
        } else if (event instanceof Event.Heartbeat p) {
            life.openAt.put(
                    us / 1_000_000, new long[] {p.openRequests(), p.queuedTasks(), p.heapBytes(), p.maxTimerDelayUs()});
        } else if (event instanceof Event.DrainStarted) {
            life.draining = true;
        } else if (event instanceof Event.ProxyStopped) {
            life.finished = true;
        } else if (event instanceof Event.EventsLost l) {
            life.lost += l.events();
        }
    }

    private void ended(Incarnation life, long us, Event.AttemptEnded e) {
        peer(e.server()).ended(e, us);
        if (e.source() != null && !e.source().equals(e.server())) {
            peer(e.source()).filled(e, us);
        }
        life.load(us, e.load());
        if (e.status() == AttemptStatus.OK && e.bornMs() > 0) {
            life.copies.add(e.object(), e.group(), us - e.latencyUs(), e.bornMs(), us, e.bytes());
        }
    }

    /**
     * Entries counted.
     *
     * @return each once
     */
    public long entries() {
        return entries;
    }

    /**
     * Entries that came again.
     *
     * @return how many
     */
    public long doubled() {
        return doubled;
    }

    /**
     * The lives of fronts.
     *
     * @return by front, then by life
     */
    public Collection<Incarnation> lives() {
        return lives.values();
    }

    /**
     * What was seen of servers.
     *
     * @return by id
     */
    public Map<String, EndpointStatistics> peers() {
        return peers;
    }
}
