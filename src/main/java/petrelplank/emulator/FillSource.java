package petrelplank.emulator;

import java.util.function.Consumer;

/** Where a cache gets an object that it does not hold: another cache or the origin. */
@FunctionalInterface
interface FillSource {
    /**
     * Asks for the object.
     *
     * @param request what is asked for
     * @param onlyIfCached a miss at the source ends the fill
     * @param onReply takes the reply; never called where the source is silent
     */
    void fetch(CacheRequest request, boolean onlyIfCached, Consumer<CacheReply> onReply);
}
