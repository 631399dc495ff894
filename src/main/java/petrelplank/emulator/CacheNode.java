package petrelplank.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import petrelplank.routing.AttemptStatus;
import petrelplank.routing.CacheStatus;

/** A cache of a branch or a hub: copies, a link out, fills that others join, and what may be wrong with it. */
final class CacheNode {
    /** Requests in hand, over the link's width, above which it turns requests away. */
    private static final double ROOM = 8;

    private static final double COLD_FROM = 0.15;
    private static final long WARM_US = 15_000_000;
    private static final long FILL_TIMEOUT_US = 1_500_000;
    private static final int HUB_FILLS = 64;
    private static final long ANSWER_US = 300;
    /** A hub cache sends to a cache so many times as fast as to a client. */
    private static final double FILL_PACE = 3;

    /**
     * What a cache or a hub cache is asked.
     *
     * @param object the object
     * @param group its group
     * @param bytes its size
     * @param oldestUs the oldest copy that will do; 0 for any
     * @param write runs at the central stock
     */
    record Ask(long object, int group, long bytes, long oldestUs, boolean write) {}

    /**
     * How it answered.
     *
     * @param status how
     * @param cacheStatus what is told
     * @param sourceWaitUs for the source
     * @param bornUs when the central stock gave the copy out
     */
    record CacheReply(AttemptStatus status, CacheStatus cacheStatus, long sourceWaitUs, long bornUs) {}

    /** A fill under way, and who waits for it. */
    private static final class Fill {
        private final List<Consumer<CacheReply>> joined = new ArrayList<>();
    }

    final String id;
    final String zone;
    final String kind;
    final double weight;
    final CacheStorage store;
    final Link link;
    private final EventScheduler clock;
    private final UniformRandomProvider random;
    private final Map<Long, Fill> fills = new HashMap<>();
    private int inHand;
    /** Rises where all that is in hand is forgotten. */
    private int generation;

    private boolean silent;
    private double failing;
    private long startedUs;

    CacheNode(
            EventScheduler clock,
            UniformRandomProvider random,
            String id,
            String zone,
            String kind,
            double weight,
            long holds,
            double pace) {
        this.clock = clock;
        this.random = random;
        this.id = id;
        this.zone = zone;
        this.kind = kind;
        this.weight = weight;
        this.store = new CacheStorage(holds);
        double flow = Catalogue.FLOW_KB_PER_S * 1024 / 1e6;
        this.link = new Link(clock, flow * weight, flow * pace);
    }

    static CacheNode cache(EventScheduler clock, UniformRandomProvider random, String id, String zone, Scenario s) {
        return new CacheNode(clock, random, id, zone, "box", s.cacheWeight(), s.cacheBytes(), 1);
    }

    static CacheNode hub(EventScheduler clock, UniformRandomProvider random, String id, String zone, Scenario s) {
        return new CacheNode(clock, random, id, zone, "hub", s.hubWeight(), s.hubBytes(), FILL_PACE);
    }

    /** Another of its kind and place, under a new id, not started yet. */
    CacheNode successor(Scenario s) {
        return kind.equals("hub")
                ? hub(clock, random, id + "-new", zone, s)
                : cache(clock, random, id + "-new", zone, s);
    }

    long startedUs() {
        return startedUs;
    }

    /** From now on it takes work and answers nothing; at the end what it took meanwhile is forgotten. */
    void silent(boolean now) {
        silent = now;
        if (!now) {
            inHand = 0;
            generation++;
            fills.clear();
            link.clear();
        }
    }

    void failing(double share) {
        failing = share;
    }

    /** It starts empty and cold. */
    void start() {
        startedUs = clock.now();
        store.clear();
        warm();
    }

    private void warm() {
        double part = Math.min(1, COLD_FROM + (1 - COLD_FROM) * (clock.now() - startedUs) / WARM_US);
        link.part(part);
        if (part < 1) {
            clock.after(250_000, this::warm);
        }
    }

    /** Load as reports tell it: requests in hand, and the use of the link. */
    double[] load() {
        return new double[] {inHand, link.use()};
    }

    /**
     * A request of a front.
     *
     * @param source fills a miss; null for none
     */
    void serve(Ask ask, Source source, boolean join, boolean onlyIfCached, Consumer<CacheReply> answer) {
        if (silent) {
            return;
        }
        if (failing > 0 && random.nextDouble() < failing) {
            clock.after(ANSWER_US, () -> say(answer, new CacheReply(AttemptStatus.ERROR, CacheStatus.NONE, 0, 0)));
            return;
        }
        if (inHand >= Math.max(4, ROOM * weight)) {
            clock.after(ANSWER_US, () -> say(answer, new CacheReply(AttemptStatus.REJECTED, CacheStatus.NONE, 0, 0)));
            return;
        }
        inHand++;
        int mine = generation;
        Consumer<CacheReply> ends = reply -> {
            if (mine == generation) {
                inHand--;
                say(answer, reply);
            }
        };
        if (ask.write()) {
            central(ask, source, ends);
            return;
        }
        CacheStorage.Copy copy = store.get(ask.object());
        if (copy != null && fits(copy, ask)) {
            send(ask, new CacheReply(AttemptStatus.OK, CacheStatus.HIT, 0, copy.bornUs()), ends);
        } else if (source == null) {
            ends.accept(new CacheReply(AttemptStatus.MISS, CacheStatus.NONE, 0, 0));
        } else {
            fill(ask, source, join, onlyIfCached, ends);
        }
    }

    private boolean fits(CacheStorage.Copy copy, Ask ask) {
        return ask.oldestUs() == 0 || clock.now() - copy.bornUs() <= ask.oldestUs();
    }

    private void say(Consumer<CacheReply> answer, CacheReply reply) {
        if (!silent) {
            answer.accept(reply);
        }
    }

    private void send(Ask ask, CacheReply reply, Consumer<CacheReply> ends) {
        link.transfer(ask.bytes(), () -> ends.accept(reply));
    }

    private void central(Ask ask, Source source, Consumer<CacheReply> ends) {
        if (source == null) {
            ends.accept(new CacheReply(AttemptStatus.MISS, CacheStatus.NONE, 0, 0));
            return;
        }
        long from = clock.now();
        source.get(
                ask,
                false,
                reply -> ends.accept(new CacheReply(
                        reply.status() == AttemptStatus.OK ? AttemptStatus.OK : AttemptStatus.REJECTED,
                        reply.cacheStatus(),
                        clock.now() - from,
                        reply.bornUs())));
    }

    private void fill(Ask ask, Source source, boolean join, boolean onlyIfCached, Consumer<CacheReply> ends) {
        Fill under = fills.get(ask.object());
        if (under != null && join) {
            under.joined.add(reply -> {
                if (reply.status() == AttemptStatus.OK) {
                    send(
                            ask,
                            new CacheReply(
                                    AttemptStatus.OK, CacheStatus.COALESCED, reply.sourceWaitUs(), reply.bornUs()),
                            ends);
                } else {
                    ends.accept(reply);
                }
            });
            return;
        }
        if (fills.size() >= HUB_FILLS) {
            ends.accept(new CacheReply(AttemptStatus.REJECTED, CacheStatus.FILL_LIMIT_REACHED, 0, 0));
            return;
        }
        Fill mine = new Fill();
        fills.put(ask.object(), mine);
        long from = clock.now();
        boolean[] over = {false};
        Consumer<CacheReply> came = reply -> {
            if (over[0]) {
                return;
            }
            over[0] = true;
            fills.remove(ask.object(), mine);
            CacheReply told = new CacheReply(reply.status(), reply.cacheStatus(), clock.now() - from, reply.bornUs());
            if (told.status() == AttemptStatus.OK) {
                store.put(ask.object(), new CacheStorage.Copy(ask.bytes(), told.bornUs(), ask.group()));
                send(ask, told, ends);
            } else {
                ends.accept(told);
            }
            mine.joined.forEach(j -> j.accept(told));
        };
        clock.after(
                FILL_TIMEOUT_US,
                () -> came.accept(new CacheReply(AttemptStatus.REJECTED, CacheStatus.SOURCE_UNREACHABLE, 0, 0)));
        source.get(ask, onlyIfCached, came);
    }

    /** Whence a miss is filled. */
    interface Source {
        void get(Ask ask, boolean onlyIfCached, Consumer<CacheReply> came);
    }

    /** This box as the source of another's fill: what it holds, or through it from the central stock. */
    Source source(Source central, long wayUs) {
        return (ask, onlyIfCached, came) -> clock.after(wayUs, () -> {
            if (silent) {
                return;
            }
            Consumer<CacheReply> back = reply -> {
                if (!silent) {
                    clock.after(wayUs, () -> came.accept(reply));
                }
            };
            CacheStorage.Copy copy = store.get(ask.object());
            if (copy != null && fits(copy, ask)) {
                send(ask, new CacheReply(AttemptStatus.OK, CacheStatus.FILLED, 0, copy.bornUs()), back);
            } else if (onlyIfCached) {
                back.accept(new CacheReply(AttemptStatus.MISS, CacheStatus.SOURCE_MISS, 0, 0));
            } else {
                fill(ask, central, true, false, back);
            }
        });
    }
}
