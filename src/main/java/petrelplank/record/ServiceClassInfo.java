package petrelplank.record;

import petrelplank.routing.Idempotency;

/**
 * A service class of requests as the settings define it.
 *
 * @param name name of the class
 * @param priorityWeight priority weight credited for a response within the latency objective
 * @param deadlineUs time that a client waits for a response
 * @param idempotency whether requests may be retried
 * @param write whether requests are writes, which the origin executes
 */
@StoredName("ClassOf")
public record ServiceClassInfo(
        @StoredName("name") String name,
        @StoredName("worth") double priorityWeight,
        @StoredName("deadlineUs") long deadlineUs,
        @StoredName("repeat") Idempotency idempotency,
        @StoredName("write") boolean write) {}
