package petrelplank.emulator;

import java.util.function.Consumer;

/** A source from which a cache fetches objects that it does not hold: another cache or the origin. */
@FunctionalInterface
interface FillSource {
    /**
     * Fetches an object.
     *
     * @param request the requested object
     * @param onlyIfCached whether the source may reply only with a copy that it already holds
     * @param onReply receives the reply; not called if the source is silent
     */
    void fetch(CacheRequest request, boolean onlyIfCached, Consumer<CacheReply> onReply);
}
