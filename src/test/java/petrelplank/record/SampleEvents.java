package petrelplank.record;

import java.util.List;
import petrelplank.routing.AttemptStatus;
import petrelplank.routing.CacheStatus;
import petrelplank.routing.EndpointState;
import petrelplank.routing.Idempotency;
import petrelplank.routing.TerminationReason;

/** Sample events of every type, for tests. */
public final class SampleEvents {
    /** At least one event of each type. Nullable components occur both with a value and with null. */
    public static final List<Event> EVENTS = List.of(
            new Event.ProxyStarted(
                    "branch1",
                    List.of("hub1", "branch1"),
                    List.of(new ServiceClassInfo("media", 2, 6_000_000, Idempotency.IDEMPOTENT, false)),
                    "hub",
                    null,
                    List.of("x1"),
                    1_000_000,
                    500_000,
                    100_000),
            new Event.EndpointsChanged(
                    1, true, List.of(new ListedEndpoint("box-1", "branch1", "box", EndpointState.UP, 6.5, 0))),
            new Event.Purged(2, 7L, -1, 1_764_576_000_123L),
            new Event.Purged(3, null, 17, 1_764_576_000_480L),
            new Event.RequestAdmitted(0x9b1f03aa5c7e2d41L, "media", -1, 17),
            new Event.AttemptSent(0x9b1f03aa5c7e2d41L, 0, "media", "box-1", null, -1, 17),
            new Event.AttemptEnded(
                    0x9b1f03aa5c7e2d41L,
                    0,
                    "media",
                    "box-1",
                    "hub-box",
                    Long.MIN_VALUE,
                    17,
                    AttemptStatus.OK,
                    CacheStatus.HIT,
                    12_000,
                    0,
                    1_764_576_000_000L,
                    4096,
                    List.of(0.5, 3.25)),
            new Event.RequestCompleted(
                    0x9b1f03aa5c7e2d41L, "media", ResponseKind.SERVED, 12_500, 4096, 2, true, 0, null),
            new Event.RequestCompleted(
                    1, "media", ResponseKind.REJECTED, 9, 0, 0, false, 2000, TerminationReason.FILL_NOT_ALLOWED),
            new Event.ClientDisconnected(2),
            new Event.RequestRejected("", "", ResponseKind.BAD_REQUEST),
            new Event.EndpointEjected("box-1", true, 400_000),
            new Event.EndpointRecovered("box-1"),
            new Event.Heartbeat(3, 0, 1 << 20, 12),
            new Event.EventsLost(5),
            new Event.DrainStarted(9),
            new Event.ProxyStopped());

    private SampleEvents() {}
}
