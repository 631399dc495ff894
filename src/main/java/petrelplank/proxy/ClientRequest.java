package petrelplank.proxy;

/**
 * A client's request, independent of the protocol that it arrived on.
 *
 * @param id the request's id, passed on to upstream servers unchanged
 * @param timeoutUs how long the client waits for the response, from the arrival of the request
 * @param serviceClass the name of the service class
 * @param object the id of the object, 16 hex digits
 * @param part the number of the requested part of the object
 * @param group the group of objects that this one belongs to; a purge can name a whole group
 * @param sizeKb size of the part in KB as transferred on a connection; 0 if unknown
 * @param clientTag the entity tag of the copy that the client has; null if it has none
 * @param idempotencyKey the client's idempotency key, sent unchanged with every attempt; null if the client sent none
 * @param tenant the tenant whose quota the request counts against; null if the client named none
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
        String clientTag,
        String idempotencyKey,
        String tenant,
        byte[] body) {}
