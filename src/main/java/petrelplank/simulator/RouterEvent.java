package petrelplank.simulator;

import petrelplank.routing.Router;

/** A decoded event of the simulator for one router. */
@FunctionalInterface
interface RouterEvent {
    /** For a router that gets no events any more. */
    RouterEvent IGNORED = (router, nowUs) -> {};

    /** Calls the router; {@code nowUs} is the simulator's clock. */
    void deliver(Router router, long nowUs);
}
