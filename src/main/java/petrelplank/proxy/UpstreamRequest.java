package petrelplank.proxy;

/**
 * What is asked of a cache, a parent or the origin.
 *
 * @param id the request's id
 * @param serviceClass the name of its class
 * @param object the object, 16 hex digits
 * @param part the part of the object
 * @param source the server a miss is filled from; null for no fill
 * @param rank the rank at which the copy is kept
 * @param oldestMs the oldest copy that will do; 0 for the class's fresh time
 * @param coalesce join a fill under way
 * @param onlyIfCached the source gives only what it holds
 * @param staleWhileRevalidate serve an ageing copy and renew it behind
 * @param tag the tag of the client's copy; null where it holds none
 * @param key the client's idempotency key, passed on unchanged with every attempt; null where it sent none
 * @param body bytes passed on
 * @param dedicatedConnection it can't be sent again at will, and goes out alone on a connection of its own
 */
public record UpstreamRequest(
        String id,
        String serviceClass,
        String object,
        long part,
        String source,
        int rank,
        long oldestMs,
        boolean coalesce,
        boolean onlyIfCached,
        boolean staleWhileRevalidate,
        String tag,
        String key,
        byte[] body,
        boolean dedicatedConnection) {}
