package petrelplank.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import petrelplank.routing.AttemptStatus;
import petrelplank.routing.CacheStatus;

/** The fills of a cache that are under way: bounded in number and time, and shared by requests for the same object. */
final class FillTable {
    private static final long TIMEOUT_US = 1_500_000;
    private static final int MAX_FILLS = 64;

    /** A fill under way. */
    private static final class Fill {
        private final List<Consumer<CacheReply>> coalesced = new ArrayList<>();
        private boolean ended;
    }

    /** Sends an object to the requester once it is there. */
    interface Sender {
        void send(CacheRequest request, CacheReply reply, Consumer<CacheReply> onReply);
    }

    private final EventScheduler clock;
    private final CacheStorage storage;
    private final Sender sender;
    private final Map<Long, Fill> fills = new HashMap<>();

    FillTable(EventScheduler clock, CacheStorage storage, Sender sender) {
        this.clock = clock;
        this.storage = storage;
        this.sender = sender;
    }

    /** Fills an object from a source, or waits for a fill of it that is under way where {@code coalesce} allows it. */
    void fill(
            CacheRequest request,
            FillSource source,
            boolean coalesce,
            boolean onlyIfCached,
            Consumer<CacheReply> onReply) {
        Fill underWay = fills.get(request.object());
        if (underWay != null && coalesce) {
            underWay.coalesced.add(reply -> replyToCoalesced(request, reply, onReply));
            return;
        }
        if (fills.size() >= MAX_FILLS) {
            onReply.accept(CacheReply.withoutCopy(AttemptStatus.REJECTED, CacheStatus.FILL_LIMIT_REACHED));
            return;
        }
        Fill fill = new Fill();
        fills.put(request.object(), fill);
        long startUs = clock.nowUs();
        Consumer<CacheReply> onSourceReply = reply -> end(fill, request, reply, startUs, onReply);
        clock.after(
                TIMEOUT_US,
                () -> onSourceReply.accept(
                        CacheReply.withoutCopy(AttemptStatus.REJECTED, CacheStatus.SOURCE_UNREACHABLE)));
        source.fetch(request, onlyIfCached, onSourceReply);
    }

    /** Forgets all fills; their requests get no reply from this table, but from the sources that still reply. */
    void clear() {
        fills.clear();
    }

    private void replyToCoalesced(CacheRequest request, CacheReply reply, Consumer<CacheReply> onReply) {
        if (reply.isOk()) {
            sender.send(
                    request,
                    new CacheReply(AttemptStatus.OK, CacheStatus.COALESCED, reply.sourceWaitUs(), reply.createdUs()),
                    onReply);
        } else {
            onReply.accept(reply);
        }
    }

    private void end(Fill fill, CacheRequest request, CacheReply reply, long startUs, Consumer<CacheReply> onReply) {
        if (fill.ended) {
            return;
        }
        fill.ended = true;
        fills.remove(request.object(), fill);
        CacheReply filled =
                new CacheReply(reply.status(), reply.cacheStatus(), clock.nowUs() - startUs, reply.createdUs());
        if (filled.isOk()) {
            storage.put(request.object(), new CacheStorage.Copy(request.bytes(), filled.createdUs(), request.group()));
            sender.send(request, filled, onReply);
        } else {
            onReply.accept(filled);
        }
        fill.coalesced.forEach(coalesced -> coalesced.accept(filled));
    }
}
