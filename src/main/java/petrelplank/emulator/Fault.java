package petrelplank.emulator;

import java.util.List;

/**
 * A fault that a scenario injects.
 *
 * @param kind what goes wrong
 * @param startUs when, from the start of the emulation
 * @param durationUs for how long
 * @param servers the servers, proxies or zones that it is injected into; empty where the kind names none
 * @param share the share of requests, groups, bytes or capacity, or the multiple of time or load
 */
public record Fault(FaultKind kind, long startUs, long durationUs, List<String> servers, double share) {
    /** When it starts, in Unix time. */
    long startUnixUs() {
        return EventScheduler.START_US + startUs;
    }

    /** When it ends, in Unix time. */
    long endUnixUs() {
        return startUnixUs() + durationUs;
    }
}
