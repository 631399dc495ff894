package petrelplank.proxy;

/**
 * A client's request, whatever protocol it came by.
 *
 * @param id the request's id, passed on unchanged
 * @param timeoutUs how long the client waits from the request's arrival
 * @param serviceClass the name of its class
 * @param object the object, 16 hex digits
 * @param part the part of the object
 * @param group the group that the object belongs to
 * @param sizeKb size of the part in KB on the sockets; 0 where unknown
 * @param tag the entity tag of the client's copy; null where it holds none
 * @param key the client's idempotency key, the same for all attempts of one request; null where it sent none
 * @param tenant the tenant whose quota it counts against; null where none is named
 * @param body the body of a write; empty for reads
 */
public record ClientRequest(
        String id,
        long timeoutUs,
        String serviceClass,
        String object,
        long part,
        int group,
        double sizeKb,
        String tag,
        String key,
        String tenant,
        byte[] body) {}
