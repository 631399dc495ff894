package petrelplank.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import petrelplank.routing.AttemptStatus;
import petrelplank.routing.CacheStatus;

/** The fills in flight of a cache. Limits their number and duration, and coalesces requests for the same object. */
final class FillTable {
    private static final long TIMEOUT_US = 1_500_000;
    private static final int MAX_FILLS = 64;

    /** A fill in flight. */
    private static final class Fill {
        /** Callbacks of the requests that wait for this fill. */
        private final List<Consumer<CacheReply>> waiters = new ArrayList<>();

        private boolean completed;
    }

    /** Transfers an object to the requester, then passes it the reply. */
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

    /**
     * Fetches an object from a source, stores it and sends it to the requester.
     *
     * @param coalesce whether to wait for a fill of the same object that is already in flight, if there is one
     * @param onlyIfCached whether the source may reply only with a copy that it already holds
     */
    void fill(
            CacheRequest request,
            FillSource source,
            boolean coalesce,
            boolean onlyIfCached,
            Consumer<CacheReply> onReply) {
        Fill fillInFlight = fills.get(request.object());
        if (fillInFlight != null && coalesce) {
            fillInFlight.waiters.add(reply -> replyToWaiter(request, reply, onReply));
            return;
        }
        if (fills.size() >= MAX_FILLS) {
            onReply.accept(CacheReply.withoutCopy(AttemptStatus.REJECTED, CacheStatus.FILL_LIMIT_REACHED));
            return;
        }
        Fill fill = new Fill();
        fills.put(request.object(), fill);
        long startUs = clock.nowUs();
        Consumer<CacheReply> onSourceReply = reply -> complete(fill, request, reply, startUs, onReply);
        clock.after(
                TIMEOUT_US,
                () -> onSourceReply.accept(
                        CacheReply.withoutCopy(AttemptStatus.REJECTED, CacheStatus.SOURCE_UNREACHABLE)));
        source.fetch(request, onlyIfCached, onSourceReply);
    }

    /**
     * Removes all fills, so that later requests do not coalesce with them. It does not cancel them: a reply of the
     * source or the timeout still completes them.
     */
    void clear() {
        fills.clear();
    }

    private void replyToWaiter(CacheRequest request, CacheReply reply, Consumer<CacheReply> onReply) {
        if (reply.isOk()) {
            sender.send(
                    request,
                    new CacheReply(AttemptStatus.OK, CacheStatus.COALESCED, reply.sourceWaitUs(), reply.createdUs()),
                    onReply);
        } else {
            onReply.accept(reply);
        }
    }

    private void complete(
            Fill fill, CacheRequest request, CacheReply reply, long startUs, Consumer<CacheReply> onReply) {
        if (fill.completed) {
            return;
        }
        fill.completed = true;
        fills.remove(request.object(), fill);
        CacheReply filled =
                new CacheReply(reply.status(), reply.cacheStatus(), clock.nowUs() - startUs, reply.createdUs());
        if (filled.isOk()) {
            storage.put(request.object(), new CacheStorage.Copy(request.bytes(), filled.createdUs(), request.group()));
            sender.send(request, filled, onReply);
        } else {
            onReply.accept(filled);
        }
        fill.waiters.forEach(waiter -> waiter.accept(filled));
    }
}
