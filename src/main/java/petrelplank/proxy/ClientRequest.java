package petrelplank.proxy;

/**
 * What a client asks, whatever protocol it came by.
 *
 * @param id the request's id, passed on unchanged
 * @param timeoutUs how long the client waits from the request's arrival
 * @param serviceClass the name of its class
 * @param object the object, 16 hex digits
 * @param part the part of the object
 * @param group the object's group
 * @param sizeKb size of the part in KB on the sockets; 0 where it is not told
 * @param tag the tag of a copy that the client holds; null where it holds none
 * @param key the client's idempotency key, the same for all tries of one request; null where it sent none
 * @param tenant the tenant that it is counted for; null where none is told
 * @param body bytes of a write; empty for reads
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
        byte[] body) {
    /** A request for which no tenant is told. */
    public ClientRequest(
            String id,
            long timeoutUs,
            String serviceClass,
            String object,
            long part,
            int group,
            double sizeKb,
            String tag,
            String key,
            byte[] body) {
        this(id, timeoutUs, serviceClass, object, part, group, sizeKb, tag, key, null, body);
    }
}
