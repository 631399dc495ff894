package petrelplank.record;

import petrelplank.routing.Idempotency;

/**
 * A service class as the settings define it.
 *
 * @param name its name
 * @param priorityWeight the priority weight of a response within the latency objective
 * @param deadlineUs how long a client waits
 * @param idempotency whether a request may be retried
 * @param write whether requests execute at the origin
 */
@StoredName("ClassOf")
public record ServiceClassInfo(
        @StoredName("name") String name,
        @StoredName("worth") double priorityWeight,
        @StoredName("deadlineUs") long deadlineUs,
        @StoredName("repeat") Idempotency idempotency,
        @StoredName("write") boolean write) {}
