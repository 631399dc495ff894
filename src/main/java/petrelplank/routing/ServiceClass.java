package petrelplank.routing;

/**
 * A class of requests, with its latency objective, priority and idempotency.
 *
 * @param name its name
 * @param latencyObjectiveUs a response within this earns the full priority weight
 * @param objectiveSizeFactor the objective grows by this multiple of the request's transfer time
 * @param deadlineUs how long a client waits over all attempts
 * @param priorityWeight weight of a response in time
 * @param lateWeightFactor part of the weight that a later response earns
 * @param idempotency whether a request may run more than once
 * @param idempotencyScope for requests with a key: which endpoints drop repeats
 * @param idempotencyWindowUs for requests with a key: for how long, from the first attempt that may have run
 * @param streamed whether {@link Router#streamStarted} is reported
 * @param freshnessUs how long a copy is fresh; 0 for no limit
 * @param staleIfErrorUs how much older than fresh a copy may be where a fill fails (stale-if-error)
 * @param staleWeightFactor part of the weight that such a stale copy earns
 * @param write a write: it runs at the origin, and the response is never cached
 */
public record ServiceClass(
        String name,
        long latencyObjectiveUs,
        double objectiveSizeFactor,
        long deadlineUs,
        double priorityWeight,
        double lateWeightFactor,
        Idempotency idempotency,
        IdempotencyScope idempotencyScope,
        long idempotencyWindowUs,
        boolean streamed,
        long freshnessUs,
        long staleIfErrorUs,
        double staleWeightFactor,
        boolean write) {
    /** Checks the values. */
    public ServiceClass {
        Checks.require(name != null, "class name", name);
        Checks.require(latencyObjectiveUs > 0, name + " aimUs (must be above 0)", latencyObjectiveUs);
        Checks.require(objectiveSizeFactor >= 0, name + " aimStretch (must be 0 or more)", objectiveSizeFactor);
        Checks.require(deadlineUs >= latencyObjectiveUs, name + " deadlineUs (must be at least aimUs)", deadlineUs);
        Checks.require(priorityWeight >= 0, name + " worth (must be 0 or more)", priorityWeight);
        Checks.require(idempotency != null, name + " repeat", idempotency);
        Checks.require(idempotencyScope != null, name + " scope", idempotencyScope);
        Checks.require(idempotencyWindowUs >= 0, name + " windowUs (must be 0 or more)", idempotencyWindowUs);
        Checks.require(freshnessUs >= 0, name + " freshUs (must be 0 or more)", freshnessUs);
        Checks.require(staleIfErrorUs >= 0, name + " graceUs (must be 0 or more)", staleIfErrorUs);
    }
}
