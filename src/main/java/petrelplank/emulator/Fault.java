package petrelplank.emulator;

import java.util.List;

/**
 * A fault that a scenario injects.
 *
 * @param kind the kind of fault
 * @param startUs start time, relative to the start of the emulation
 * @param durationUs how long the fault lasts
 * @param servers the affected servers, proxies or zones; empty if the kind affects the whole fleet
 * @param share the magnitude: depending on the kind, a share of the requests, groups or capacity, or a multiple of
 *     the usual time or load
 */
public record Fault(FaultKind kind, long startUs, long durationUs, List<String> servers, double share) {
    /** Returns the start time as Unix time. */
    long startUnixUs() {
        return EventScheduler.START_US + startUs;
    }

    /** Returns the end time as Unix time. */
    long endUnixUs() {
        return startUnixUs() + durationUs;
    }
}
