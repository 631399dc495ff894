package petrelplank.emulator;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;
import petrelplank.emulator.Scenario.Trouble;
import petrelplank.proxy.Attempt;
import petrelplank.proxy.ClientRequest;
import petrelplank.proxy.ClientResponse;
import petrelplank.proxy.DiscoveryEvent;
import petrelplank.proxy.UpstreamRequest;
import petrelplank.proxy.UpstreamResponse;
import petrelplank.record.EventSink;
import petrelplank.routing.AttemptStatus;
import petrelplank.routing.CacheStatus;
import petrelplank.routing.CacheStatusDetail;
import petrelplank.routing.EndpointInfo;
import petrelplank.routing.EndpointState;
import petrelplank.routing.Hash;
import petrelplank.routing.Idempotency;
import petrelplank.routing.PlatformRules;
import petrelplank.routing.RouterSettings;
import petrelplank.routing.RoutingPermissions;
import petrelplank.routing.SiblingFillPolicy;
import petrelplank.routing.WeightMeaning;

/**
 * One emulation: clients, fronts, caches, hub caches, the central stock and the coordinator, in simulated time. The
 * fronts are the real ones; all else is a model. The same scenario and seed give the same run.
 */
public final class Simulation {
    /** The central stock's id. */
    static final String CENTRAL = "central-stock";

    static final long DRAIN_GRACE_US = 1_000_000;
    static final long PURGE_GRACE_US = 500_000;
    private static final long CONNECT_US = 100_000;
    private static final long NEAR_US = 700;
    private static final long HUB_US = 4_000;
    private static final long CENTRAL_US = 12_000;
    private static final long TAIL_US = 8_000_000;
    /** A new server is listed so long after its start; an old one leaves so long after it was told to drain. */
    private static final long LISTED_US = 800_000;

    private static final long LEAVES_US = 6_000_000;
    private static final int KIB = 1024;

    private final Scenario scenario;
    private final long seed;
    private final BiFunction<String, Long, EventSink> sinks;
    private final EventScheduler clock = new EventScheduler();
    private final GroundTruthRecorder truth = new GroundTruthRecorder();
    private final UniformRandomProvider random;
    private final UniformRandomProvider ways;
    private final Catalogue catalogue;
    private final OriginServer central;
    private final Map<String, CacheNode> boxes = new LinkedHashMap<>();
    private final Map<String, Link> links = new HashMap<>();
    private final Map<String, EmulatedProxy> fronts = new LinkedHashMap<>();
    private final List<DiscoveryEvent> told = new ArrayList<>();
    private final Map<Integer, byte[]> bodies = new HashMap<>();
    private final Map<String, Catalogue.Item> items = new HashMap<>();
    private long requests;
    private int lives;
    /** Until then the coordinator tells nothing. */
    private long heldUntilUs;

    /**
     * A fleet at rest.
     *
     * @param scenario what is emulated
     * @param seed for all random numbers
     * @param sinks makes the records of a front's life, by its name and the life's number
     */
    public Simulation(Scenario scenario, long seed, BiFunction<String, Long, EventSink> sinks) {
        this.scenario = scenario;
        this.seed = seed;
        this.sinks = sinks;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.ways = RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 1_000_000_007L);
        this.catalogue = new Catalogue(scenario, RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 2_000_000_014L));
        this.central = new OriginServer(
                clock, scenario, RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 3_000_000_021L), truth);
        truth.groups(catalogue::group);
        build();
    }

    private void build() {
        for (int b = 1; b <= scenario.branches(); b++) {
            for (int i = 1; i <= scenario.cachesPerBranch(); i++) {
                add(CacheNode.cache(clock, random, ServerNames.cache(b, i), ServerNames.branch(b), scenario));
            }
            double flow = Catalogue.FLOW_KB_PER_S * KIB / 1e6;
            links.put(ServerNames.branch(b), new Link(clock, flow * scenario.linkWeight(), flow * 3));
        }
        for (int h = 1; h <= scenario.hubs(); h++) {
            for (int i = 1; i <= scenario.cachesPerHub(); i++) {
                add(CacheNode.hub(clock, random, ServerNames.hubCache(h, i), ServerNames.hub(h), scenario));
            }
        }
        warm();
        told.add(new DiscoveryEvent.Change(1, true, list(EndpointState.UP, boxes.keySet())));
        for (int b = 1; b <= scenario.branches(); b++) {
            for (int i = 1; i <= scenario.frontsPerBranch(); i++) {
                start(ServerNames.front(b, i), ServerNames.branch(b));
            }
        }
    }

    private void add(CacheNode box) {
        boxes.put(box.id, box);
    }

    /** Caches and hub caches that run at the beginning hold what was asked for lately. */
    private void warm() {
        List<CacheNode> all = List.copyOf(boxes.values());
        for (int i = 0; i < 40 * scenario.objects() && i < 400_000; i++) {
            Catalogue.Item item = catalogue.draw();
            if (!item.type().write()) {
                CacheStorage.Copy copy = new CacheStorage.Copy(
                        bytes(item), clock.now() - random.nextInt(60_000_000), catalogue.group(item.object()));
                all.get((int) Long.remainderUnsigned(Hash.mix(item.object() + i % 7), all.size()))
                        .store
                        .put(item.object(), copy);
            }
        }
    }

    private long bytes(Catalogue.Item item) {
        return (catalogue.bytes(item) + KIB - 1) / KIB * KIB;
    }

    private List<DiscoveryEvent.Entry> list(EndpointState state, Iterable<String> ids) {
        List<DiscoveryEvent.Entry> all = new ArrayList<>();
        for (String id : ids) {
            CacheNode box = boxes.get(id);
            all.add(new DiscoveryEvent.Entry(
                    new EndpointInfo(id, box.zone, box.kind, 0, state, box.weight, box.startedUs()),
                    InetSocketAddress.createUnresolved(id, 1)));
        }
        if (told.isEmpty()) {
            all.add(new DiscoveryEvent.Entry(
                    new EndpointInfo(CENTRAL, ServerNames.hub(1), "central", 0, EndpointState.UP, 1, 0),
                    InetSocketAddress.createUnresolved(CENTRAL, 1)));
        }
        return all;
    }

    private RouterSettings settings(String branch) {
        List<String> zones = new ArrayList<>();
        List<Integer> crew = new ArrayList<>();
        List<Integer> hubOf = new ArrayList<>();
        for (int h = 1; h <= scenario.hubs(); h++) {
            zones.add(ServerNames.hub(h));
            crew.add(0);
            hubOf.add(h - 1);
        }
        for (int b = 1; b <= scenario.branches(); b++) {
            zones.add(ServerNames.branch(b));
            crew.add(scenario.frontsPerBranch());
            hubOf.add((b - 1) % scenario.hubs());
        }
        return new RouterSettings(
                0,
                scenario.branches() * scenario.frontsPerBranch(),
                branch,
                zones,
                crew,
                hubOf,
                Collections.nCopies(zones.size(), scenario.linkWeight() * Catalogue.FLOW_KB_PER_S),
                "hub",
                "central",
                Catalogue.FLOW_KB_PER_S,
                WeightMeaning.NOMINAL,
                CacheStatusDetail.ALL,
                List.of("concurrent", "x1"),
                false,
                CONNECT_US,
                Catalogue.CLASSES,
                new RoutingPermissions(
                        6, true, true, false, false, true, 2_000_000, true, true, SiblingFillPolicy.OWN_ZONE),
                new PlatformRules(
                        DRAIN_GRACE_US,
                        0.15,
                        15_000_000,
                        4,
                        1_500_000,
                        0.15,
                        15_000_000,
                        2,
                        OriginServer.FALL_MULTIPLE,
                        OriginServer.FALL_US,
                        PURGE_GRACE_US,
                        6_000_000,
                        10_000_000));
    }

    private void start(String name, String branch) {
        long life = Hash.mix(seed * 1_000_003 + ++lives);
        long apart = scenario.clockSpreadUs() == 0
                ? 0
                : Math.floorMod(Hash.mix(life), scenario.clockSpreadUs()) - scenario.clockSpreadUs() / 2;
        EmulatedProxy front = new EmulatedProxy(
                clock, name, branch, settings(branch), life, apart, this::send, truth, sinks.apply(name, life));
        fronts.put(name, front);
        truth.started(front);
        told.forEach(e -> tell(front, e));
    }

    private void tell(EmulatedProxy front, DiscoveryEvent event) {
        if (front.alive()) {
            truth.told(front, event);
            front.told(event);
        }
    }

    private void announce(DiscoveryEvent event) {
        told.add(event);
        for (EmulatedProxy front : List.copyOf(fronts.values())) {
            long late = Math.max(0, heldUntilUs - clock.now());
            clock.after(late + 30_000 + random.nextInt(200_000), () -> {
                // In order, whatever the way took: the number says what is still missing.
                if (event.index() > front.lastEventIndex()) {
                    told.stream()
                            .filter(e -> e.index() > front.lastEventIndex() && e.index() <= event.index())
                            .toList()
                            .forEach(e -> tell(front, e));
                }
            });
        }
    }

    private void purge(Long object, int group) {
        long at = clock.now() / 1000 * 1000;
        announce(new DiscoveryEvent.Purge(told.size() + 1, object, group, at / 1000));
        for (CacheNode box : boxes.values()) {
            clock.after(50_000 + random.nextInt(2_000_000), () -> box.store.drop(object, group, at));
        }
    }

    // ---- Clients ----

    private void clients() {
        ZigguratSampler.Exponential gap = ZigguratSampler.Exponential.of(random, 1e6 / scenario.requestsPerSecond());
        long end = EventScheduler.START_US + scenario.lengthUs();
        Runnable[] next = new Runnable[1];
        next[0] = () -> {
            if (clock.now() < end) {
                ask();
                clock.after(Math.max(1, (long) gap.sample()), next[0]);
            }
        };
        clock.after((long) gap.sample(), next[0]);
    }

    private void ask() {
        Catalogue.Item item = catalogue.draw();
        List<EmulatedProxy> up =
                fronts.values().stream().filter(EmulatedProxy::alive).toList();
        EmulatedProxy front = up.get(random.nextInt(up.size()));
        String id = String.format("%016x", Hash.mix(seed ^ ++requests << 20));
        long bytes = bytes(item);
        long from = clock.now();
        items.put(id, item);
        truth.asked(front, item.type());
        front.take(
                new ClientRequest(
                        id,
                        item.type().deadlineUs(),
                        item.type().name(),
                        String.format("%016x", item.object()),
                        0,
                        catalogue.group(item.object()),
                        0,
                        null,
                        item.type().idempotency() == Idempotency.IDEMPOTENT_WITH_KEY ? id : null,
                        new byte[0]),
                answer -> {
                    items.remove(id);
                    truth.answered(
                            front,
                            item,
                            answer.kind() == ClientResponse.Kind.SERVED ? bytes : 0,
                            answer,
                            clock.now() - from);
                });
    }

    // ---- Network ----

    private long way(long us) {
        return (long) (us * (0.8 + 0.4 * ways.nextDouble()));
    }

    private void send(EmulatedProxy front, Attempt attempt) {
        UpstreamRequest f = attempt.request();
        Catalogue.Item item = items.get(f.id());
        long object = Long.parseUnsignedLong(f.object(), 16);
        boolean write = f.serviceClass().equals("stock-move");
        CacheNode.Ask ask = new CacheNode.Ask(
                object, catalogue.group(object), item == null ? KIB : bytes(item), f.oldestMs() * 1000, write);
        CacheNode box = boxes.get(attempt.server());
        long way = box == null ? CENTRAL_US : box.kind.equals("hub") ? HUB_US : NEAR_US;
        Consumer<CacheNode.CacheReply> back =
                reply -> clock.after(way(way), () -> front.answered(attempt, answer(f.id(), ask.bytes(), reply, box)));
        clock.after(way(way), () -> {
            if (box == null) {
                central(f.id(), ask, false, back);
            } else {
                CacheNode.Source source = f.source() == null ? null : source(f.id(), f.source(), box);
                box.serve(ask, source, f.coalesce(), f.onlyIfCached(), back);
            }
        });
    }

    /** A miss is filled from a hub cache, the central stock or a neighbour, over the branch's link where it comes in. */
    private CacheNode.Source source(String request, String id, CacheNode to) {
        CacheNode from = boxes.get(id);
        CacheNode.Source origin =
                (ask, held, came) -> clock.after(way(CENTRAL_US), () -> central(request, ask, held, came));
        CacheNode.Source plain = from == null ? origin : from.source(origin, way(HUB_US));
        Link link = links.get(to.zone);
        return link == null || from != null && from.zone.equals(to.zone)
                ? plain
                : (ask, held, came) -> plain.get(ask, held, reply -> {
                    if (reply.status() == AttemptStatus.OK && !ask.write()) {
                        link.transfer(ask.bytes(), () -> came.accept(reply));
                    } else {
                        came.accept(reply);
                    }
                });
    }

    private void central(String request, CacheNode.Ask ask, boolean held, Consumer<CacheNode.CacheReply> came) {
        central.call(well -> {
            if (well && ask.write()) {
                truth.ran(request);
            }
            clock.after(
                    way(CENTRAL_US),
                    () -> came.accept(
                            well
                                    ? new CacheNode.CacheReply(
                                            AttemptStatus.OK, CacheStatus.FILLED_FROM_ORIGIN, 0, clock.now())
                                    : new CacheNode.CacheReply(
                                            AttemptStatus.REJECTED, CacheStatus.ORIGIN_FAILED, 0, 0)));
        });
    }

    private UpstreamResponse answer(String id, long bytes, CacheNode.CacheReply reply, CacheNode box) {
        byte[] body = reply.status() == AttemptStatus.OK
                ? bodies.computeIfAbsent((int) bytes, byte[]::new)
                : bodies.computeIfAbsent(0, byte[]::new);
        double[] load = box == null
                ? null
                : new double[] {
                    box.load()[0],
                    links.containsKey(box.zone) ? links.get(box.zone).use() : 0
                };
        return new UpstreamResponse(
                id,
                reply.status(),
                false,
                null,
                reply.cacheStatus(),
                reply.sourceWaitUs(),
                reply.bornUs() / 1000,
                load,
                body);
    }

    // ---- Troubles ----

    private void plan(Trouble t) {
        long from = EventScheduler.START_US + t.atUs();
        long to = from + t.forUs();
        switch (t.kind()) {
            case SILENT -> during(t, box -> box.silent(true), box -> box.silent(false));
            case FAST_FAILURES -> during(t, box -> box.failing(t.share()), box -> box.failing(0));
            case SLOW_STOCK -> {
                clock.at(from, () -> central.slower(t.share()));
                clock.at(to, () -> central.slower(1));
            }
            case OUTSIDE_LOAD -> {
                clock.at(from, () -> central.outside(t.share() * scenario.centralPerSecond()));
                clock.at(to, () -> central.outside(0));
            }
            case CROWDED_LINK -> {
                clock.at(from, () -> t.servers().forEach(b -> links.get(b).part(t.share())));
                clock.at(to, () -> t.servers().forEach(b -> links.get(b).part(1)));
            }
            case PURGE ->
                clock.at(from, () -> {
                    for (int g = 0; g < Math.round(t.share() * scenario.groups()); g++) {
                        purge(null, g);
                    }
                });
            case HOT_OBJECT -> {
                clock.at(from, () -> catalogue.hot(Hash.mix(seed + 77), t.share()));
                clock.at(to, () -> catalogue.hot(null, 0));
            }
            case RESTART ->
                t.servers().forEach(name -> {
                    clock.at(from, () -> {
                        EmulatedProxy front = fronts.get(name);
                        front.kill();
                        truth.ended(front, false);
                    });
                    clock.at(to, () -> start(name, fronts.get(name).branch));
                });
            case DRAIN -> {
                clock.at(
                        from,
                        () -> announce(new DiscoveryEvent.Change(
                                told.size() + 1, false, list(EndpointState.DRAINING, t.servers()))));
                clock.at(
                        to,
                        () -> announce(new DiscoveryEvent.Change(
                                told.size() + 1, false, list(EndpointState.REMOVED, t.servers()))));
            }
            case LOST ->
                during(t, box -> box.silent(true), box -> {
                    box.silent(false);
                    box.start();
                    clock.after(
                            LISTED_US,
                            () -> announce(new DiscoveryEvent.Change(
                                    told.size() + 1, false, list(EndpointState.UP, List.of(box.id)))));
                });
            case REPLACE -> {
                for (int i = 0; i < t.servers().size(); i++) {
                    CacheNode old = boxes.get(t.servers().get(i));
                    clock.at(from + t.forUs() * i / t.servers().size(), () -> replace(old));
                }
            }
            case LATE_LIST -> clock.at(from, () -> heldUntilUs = to);
            default -> throw new IllegalStateException(t.kind().toString());
        }
        if (t.kind() != Scenario.Kind.DRAIN
                && t.kind() != Scenario.Kind.REPLACE
                && t.kind() != Scenario.Kind.OUTSIDE_LOAD) {
            truth.trouble(t.kind().label(), t.servers(), from, t.kind() == Scenario.Kind.PURGE ? from : to);
        }
    }

    /** A new box starts cold beside an old one, which drains, and is gone a while later. */
    private void replace(CacheNode old) {
        CacheNode box = old.successor(scenario);
        add(box);
        box.start();
        clock.after(LISTED_US, () -> {
            announce(new DiscoveryEvent.Change(told.size() + 1, false, list(EndpointState.UP, List.of(box.id))));
            announce(new DiscoveryEvent.Change(told.size() + 1, false, list(EndpointState.DRAINING, List.of(old.id))));
        });
        clock.after(LISTED_US + LEAVES_US, () -> {
            announce(new DiscoveryEvent.Change(told.size() + 1, false, list(EndpointState.REMOVED, List.of(old.id))));
            old.silent(true);
        });
    }

    private void during(Trouble t, Consumer<CacheNode> begin, Consumer<CacheNode> end) {
        for (String id : t.servers()) {
            clock.at(EventScheduler.START_US + t.atUs(), () -> begin.accept(boxes.get(id)));
            clock.at(EventScheduler.START_US + t.atUs() + t.forUs(), () -> end.accept(boxes.get(id)));
        }
    }

    private void ordinaryPurges() {
        if (scenario.purgesPerSecond() > 0) {
            ZigguratSampler.Exponential gap = ZigguratSampler.Exponential.of(random, 1e6 / scenario.purgesPerSecond());
            Runnable[] next = new Runnable[1];
            next[0] = () -> {
                if (clock.now() < EventScheduler.START_US + scenario.lengthUs()) {
                    Catalogue.Item item = catalogue.draw();
                    purge(item.object(), -1);
                    clock.after((long) gap.sample(), next[0]);
                }
            };
            clock.after((long) gap.sample(), next[0]);
        }
    }

    /**
     * Plays it to the end.
     *
     * @return the truth, as a tree for JSON
     */
    public Map<String, Object> run() {
        scenario.troubles().forEach(this::plan);
        clients();
        ordinaryPurges();
        clock.run(EventScheduler.START_US + scenario.lengthUs() + TAIL_US);
        for (EmulatedProxy front : fronts.values()) {
            if (front.alive()) {
                front.finish();
                truth.ended(front, true);
            }
        }
        Map<String, Object> tree = truth.tree();
        tree.put("scenario", scenario.name());
        tree.put("seed", seed);
        return tree;
    }

    /**
     * How many requests were asked so far.
     *
     * @return the count
     */
    public long requests() {
        return requests;
    }

    /**
     * How many things happened so far.
     *
     * @return tasks run in simulated time
     */
    public long happened() {
        return clock.ran();
    }
}
