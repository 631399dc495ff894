package petrelplank.simulator;

import petrelplank.routing.Router;

/** A decoded simulator event that is delivered to one router. */
@FunctionalInterface
interface RouterEvent {
    /** Used for every event addressed to a crashed router; does nothing. */
    RouterEvent IGNORED = (router, nowUs) -> {};

    /** Calls the router method for this event; {@code nowUs} is the time of the simulator's clock. */
    void deliver(Router router, long nowUs);
}
