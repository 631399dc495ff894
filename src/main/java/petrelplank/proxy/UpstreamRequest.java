package petrelplank.proxy;

/**
 * The request that an attempt sends to a cache, a parent or the origin.
 *
 * @param id the request's id
 * @param serviceClass the name of the service class
 * @param object the id of the object, 16 hex digits
 * @param part the number of the requested part of the object
 * @param fillSource the id of the server that a miss is filled from; null for no fill
 * @param rank the rank at which the cache keeps the copy; 0 to cache nothing
 * @param maxAgeMs the maximum age of a copy that may be served; 0 for the freshness lifetime of the service class
 * @param coalesce whether to wait for a fill of the same object that is in progress
 * @param onlyIfCached whether the source may respond only with a copy that it has cached
 * @param staleWhileRevalidate whether to serve a copy that is about to expire and revalidate it in the background
 * @param clientTag the entity tag of the copy that the client has; null if it has none
 * @param idempotencyKey the client's idempotency key, the same for all attempts; null if the client sent none
 * @param body the body of the client's request
 * @param dedicatedConnection whether it is sent alone on a connection, because it is not freely repeatable
 */
public record UpstreamRequest(
        String id,
        String serviceClass,
        String object,
        long part,
        String fillSource,
        int rank,
        long maxAgeMs,
        boolean coalesce,
        boolean onlyIfCached,
        boolean staleWhileRevalidate,
        String clientTag,
        String idempotencyKey,
        byte[] body,
        boolean dedicatedConnection) {}
