package petrelplank.routing;

/**
 * A client's request.
 *
 * @param id the request's id
 * @param object the object asked for
 * @param part which part of it
 * @param group the group that the object belongs to: its surrogate key for purges
 * @param serviceClass the name of its {@link ServiceClass}
 * @param deadlineUs when the client stops waiting
 * @param sizeKb size of the part; 0 where it is not known
 * @param write it is a write
 * @param retry the client marked it as a retry
 * @param tenant the {@link Tenant} that it is counted for; null for none
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
