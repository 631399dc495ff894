package petrelplank.routing;

/**
 * A client's request.
 *
 * @param id id of the request
 * @param object the requested object
 * @param part the requested part of the object
 * @param group group that the object belongs to: its surrogate key for purges
 * @param serviceClass name of the {@link ServiceClass}
 * @param deadlineUs time at which the client stops waiting
 * @param sizeKb size of the part; 0 if unknown
 * @param write whether the request is a write
 * @param retry whether the client marked the request as a retry
 * @param tenant name of the {@link Tenant} whose quota the request counts against; null if there is none
 */
public record RoutingRequest(
        String id,
        long object,
        long part,
        int group,
        String serviceClass,
        long deadlineUs,
        double sizeKb,
        boolean write,
        boolean retry,
        String tenant) {}
