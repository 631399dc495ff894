package petrelplank.analysis;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import petrelplank.record.Event;
import petrelplank.routing.AttemptStatus;

/** The attempts of one incarnation: when endpoints were used, the copies served and the load reported. */
final class AttemptLog {
    /** Fields of a load report that are kept; those behind them are not. */
    private static final int LOAD_FIELDS = 4;

    private static final double MICRO = 1e6;

    /** Times of attempts at an endpoint, or with it as the source. */
    private final Map<String, LongTable> sends = new TreeMap<>();
    /** Rows of {@link ServedCopy}. */
    private final LongTable copies = new LongTable(ServedCopy.COLUMNS);
    /** By second, the most that load reports said of each field, in millionths. */
    private final Map<Long, long[]> peakLoadMicro = new TreeMap<>();

    void sent(long unixUs, Event.AttemptSent event) {
        addSend(event.server(), unixUs);
        if (event.source() != null && !event.source().equals(event.server())) {
            addSend(event.source(), unixUs);
        }
    }

    private void addSend(String endpoint, long unixUs) {
        sends.computeIfAbsent(endpoint, key -> new LongTable(1)).add(unixUs);
    }

    void ended(long unixUs, Event.AttemptEnded event) {
        addLoad(unixUs, event.load());
        if (event.status() == AttemptStatus.OK && event.bornMs() > 0) {
            long sentUs = unixUs - event.latencyUs();
            new ServedCopy(event.object(), event.group(), sentUs, event.bornMs(), unixUs, event.bytes()).addTo(copies);
        }
    }

    private void addLoad(long unixUs, List<Double> load) {
        if (load.isEmpty()) {
            return;
        }
        long[] peak = peakLoadMicro.computeIfAbsent(UnixTime.second(unixUs), second -> new long[LOAD_FIELDS]);
        for (int field = 0; field < Math.min(LOAD_FIELDS, load.size()); field++) {
            peak[field] = Math.max(peak[field], Math.round(load.get(field) * MICRO));
        }
    }

    /** Times of attempts at an endpoint or by way of it, one a row. */
    LongTable sends(String endpoint) {
        return sends.getOrDefault(endpoint, new LongTable(1));
    }

    /** Visits the copies served, in no particular order. */
    void forEachCopy(Consumer<ServedCopy> action) {
        for (int row = 0; row < copies.size(); row++) {
            action.accept(ServedCopy.ofRow(copies, row));
        }
    }

    /** By second, the most that load reports said of each field, in millionths. */
    Map<Long, long[]> peakLoadMicro() {
        return peakLoadMicro;
    }
}
