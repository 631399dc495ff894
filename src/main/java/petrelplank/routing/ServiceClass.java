package petrelplank.routing;

/**
 * A class of requests, with its latency objective, priority and idempotency.
 *
 * @param name name of the class
 * @param latencyObjectiveUs response time up to which a response counts with the full priority weight
 * @param objectiveSizeFactor multiple of a request's transfer time by which its latency objective is longer
 * @param deadlineUs how long a client waits for the final answer, over all attempts
 * @param priorityWeight weight of a response within the latency objective
 * @param lateWeightFactor fraction of the weight with which a later response counts
 * @param idempotency whether a request may be executed more than once
 * @param idempotencyScope for requests with an idempotency key: which endpoints drop repeats
 * @param idempotencyWindowUs for requests with an idempotency key: how long repeats are dropped, from the first attempt
 *     that may have been executed
 * @param streamed whether {@link Router#streamStarted} is reported
 * @param freshnessUs how long a copy is fresh; 0 for no limit
 * @param staleIfErrorUs how much longer a copy may be served if a fill fails (stale-if-error)
 * @param staleWeightFactor fraction of the weight with which such a stale copy counts
 * @param write whether requests are writes: they run at the origin, and their responses are never cached
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
    /** Validates the values. */
    public ServiceClass {
        SettingChecks.require(name != null, "name of a service class (must not be null)", name);
        SettingChecks.require(
                latencyObjectiveUs > 0, "aim-us of service class " + name + " (must be above 0)", latencyObjectiveUs);
        SettingChecks.require(
                objectiveSizeFactor >= 0,
                "aim-stretch of service class " + name + " (must be 0 or more)",
                objectiveSizeFactor);
        SettingChecks.require(
                deadlineUs >= latencyObjectiveUs,
                "deadline-us of service class " + name + " (must be at least aim-us)",
                deadlineUs);
        SettingChecks.require(
                priorityWeight >= 0, "worth of service class " + name + " (must be 0 or more)", priorityWeight);
        SettingChecks.require(
                idempotency != null, "repeat of service class " + name + " (must not be null)", idempotency);
        SettingChecks.require(
                idempotencyScope != null, "group of service class " + name + " (must not be null)", idempotencyScope);
        SettingChecks.require(
                idempotencyWindowUs >= 0,
                "key-ttl-us of service class " + name + " (must be 0 or more)",
                idempotencyWindowUs);
        SettingChecks.require(
                freshnessUs >= 0, "max-age-us of service class " + name + " (must be 0 or more)", freshnessUs);
        SettingChecks.require(
                staleIfErrorUs >= 0,
                "class-grace-us of service class " + name + " (must be 0 or more)",
                staleIfErrorUs);
    }
}
