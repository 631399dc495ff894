package petrelplank.analysis;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import petrelplank.record.Event;
import petrelplank.record.ListedEndpoint;
import petrelplank.routing.EndpointState;

/** One life of a front: what its entries say, each counted once. */
public final class Incarnation {
    private static final int FIELDS = 4;
    private static final int PAGE = 4096;

    /**
     * Numbers that are missing, and between which times.
     *
     * @param first the first missing number
     * @param last the last missing number
     * @param fromS Unix second of the entry before
     * @param toS Unix second of the entry behind
     */
    public record Gap(long first, long last, long fromS, long toS) {}

    /** A state of a server, as told. */
    record Told(long index, long atUs, EndpointState state) {}

    final String front;
    final long id;
    Event.ProxyStarted started;
    long startedUs;
    boolean finished;
    boolean draining;
    long firstUs = Long.MAX_VALUE;
    long lastUs = Long.MIN_VALUE;
    /** The Unix second of each number, by pages; 0 where it has not come. A number that is spoilt takes one page. */
    private final TreeMap<Integer, int[]> secondsOf = new TreeMap<>();

    long lost;
    /** By second and class. */
    final Map<Long, Map<String, RequestTotals>> sums = new TreeMap<>();

    final Map<Long, long[]> openAt = new TreeMap<>();
    /** By second, the most that load reports said of each field, in millionths. */
    final Map<Long, long[]> loads = new TreeMap<>();
    /** Taken less answered or left, by request; what is even is not held. */
    final Map<Long, Integer> owed = new HashMap<>();

    final Map<String, List<Told>> told = new TreeMap<>();
    final Map<Long, Event.Purged> purges = new TreeMap<>();
    final Map<Long, Long> purgeToldUs = new TreeMap<>();
    /** Times of sends to a server, or with it as the source. */
    final Map<String, LongTable> sends = new TreeMap<>();
    /** Copies served: object, group, sent, born (ms), ended, bytes. */
    final LongTable copies = new LongTable(6);
    /** Time, 1 for out and 0 for back, by server. */
    final Map<String, LongTable> health = new TreeMap<>();

    final Map<String, ListedEndpoint> servers = new TreeMap<>();
    private final Map<String, Long> serverIndex = new HashMap<>();
    final Map<String, Long> turnedAway = new TreeMap<>();
    final Map<String, Long> givenUp = new TreeMap<>();

    Incarnation(String front, long id) {
        this.front = front;
        this.id = id;
    }

    /** Whether a number comes for the first time. */
    boolean first(long number, long unixUs) {
        if (number < 0 || number > Integer.MAX_VALUE - 8) {
            return false;
        }
        int at = (int) number;
        int[] page = secondsOf.computeIfAbsent(at / PAGE, p -> new int[PAGE]);
        if (page[at % PAGE] != 0) {
            return false;
        }
        page[at % PAGE] = (int) Math.max(1, unixUs / 1_000_000);
        firstUs = Math.min(firstUs, unixUs);
        lastUs = Math.max(lastUs, unixUs);
        return true;
    }

    RequestTotals sums(long unixUs, String type) {
        return sums.computeIfAbsent(unixUs / 1_000_000, s -> new HashMap<>())
                .computeIfAbsent(type, c -> new RequestTotals());
    }

    void owes(long request, int change) {
        int now = owed.merge(request, change, Integer::sum);
        if (now == 0) {
            owed.remove(request);
        }
    }

    void load(long unixUs, List<Double> load) {
        if (load.isEmpty()) {
            return;
        }
        long[] most = loads.computeIfAbsent(unixUs / 1_000_000, s -> new long[FIELDS]);
        for (int i = 0; i < Math.min(FIELDS, load.size()); i++) {
            most[i] = Math.max(most[i], Math.round(load.get(i) * 1e6));
        }
    }

    void listed(Event.EndpointsChanged l, long atUs) {
        for (ListedEndpoint s : l.servers()) {
            told.computeIfAbsent(s.id(), i -> new ArrayList<>()).add(new Told(l.index(), atUs, s.state()));
            if (serverIndex.getOrDefault(s.id(), -1L) < l.index()) {
                serverIndex.put(s.id(), l.index());
                servers.put(s.id(), s);
            }
        }
    }

    /** The states that a server was told to be in, in the order of their numbers. */
    List<Told> told(String server) {
        return told.getOrDefault(server, List.of()).stream()
                .sorted(java.util.Comparator.comparingLong(Told::index))
                .toList();
    }

    /** When a server was first told to be draining or gone, the time; -1 where it never was. */
    long drainToldUs(String server) {
        return told(server).stream()
                .filter(t -> t.state() != EndpointState.UP)
                .mapToLong(Told::atUs)
                .findFirst()
                .orElse(-1);
    }

    /**
     * Whose life it is.
     *
     * @return the front's name
     */
    public String front() {
        return front;
    }

    /**
     * The branch that the front belongs to.
     *
     * @return its name; "unknown" where the start is missing
     */
    public String branch() {
        return started == null ? "unknown" : started.zone();
    }

    /**
     * Missing numbers.
     *
     * @return in order; what may be missing behind the last entry is not known
     */
    public List<Gap> gaps() {
        List<Gap> all = new ArrayList<>();
        long next = 0;
        int before = 0;
        for (Map.Entry<Integer, int[]> page : secondsOf.entrySet()) {
            for (int i = 0; i < PAGE; i++) {
                int second = page.getValue()[i];
                long number = (long) page.getKey() * PAGE + i;
                if (second != 0) {
                    if (number > next) {
                        all.add(new Gap(next, number - 1, next == 0 ? second : before, second));
                    }
                    next = number + 1;
                    before = second;
                }
            }
        }
        return all;
    }

    /**
     * How it ended, as far as is known.
     *
     * @return finished, or no last record: killed, cut off or still running
     */
    public String end() {
        return finished ? "finished" : "no last record";
    }

    /**
     * Its first record.
     *
     * @return Unix microseconds
     */
    public long firstUs() {
        return firstUs;
    }

    /**
     * Its last record.
     *
     * @return Unix microseconds
     */
    public long lastUs() {
        return lastUs;
    }

    /**
     * Events that its writer said it lost.
     *
     * @return how many
     */
    public long lostEvents() {
        return lost;
    }
}
