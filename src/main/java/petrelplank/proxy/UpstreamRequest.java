package petrelplank.proxy;

/**
 * What an attempt asks of a cache, a parent or the origin.
 *
 * @param id the request's id
 * @param serviceClass the name of its class
 * @param object the object, 16 hex digits
 * @param part the part of the object
 * @param source id of the server from which a miss is filled; null for no fill
 * @param rank the rank at which the cache keeps the copy
 * @param maxAgeMs the maximum age of a copy that is served; 0 for the freshness lifetime of the class
 * @param coalesce wait for a fill of the same object that is under way
 * @param onlyIfCached the source responds only with what it holds
 * @param staleWhileRevalidate serve a copy that is about to expire, and revalidate it in the background
 * @param tag the entity tag of the client's copy; null where it holds none
 * @param key the client's idempotency key, the same for all attempts; null where it sent none
 * @param body the body, passed on unchanged
 * @param dedicatedConnection it is not idempotent, and goes out alone on a connection of its own
 */
public record UpstreamRequest(
        String id,
        String serviceClass,
        String object,
        long part,
        String source,
        int rank,
        long maxAgeMs,
        boolean coalesce,
        boolean onlyIfCached,
        boolean staleWhileRevalidate,
        String tag,
        String key,
        byte[] body,
        boolean dedicatedConnection) {}
