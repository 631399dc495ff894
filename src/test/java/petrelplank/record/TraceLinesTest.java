package petrelplank.record;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import petrelplank.routing.AttemptStatus;
import petrelplank.routing.CacheStatus;
import petrelplank.routing.EndpointState;

class TraceLinesTest {
    private static final Event.AttemptEnded ATTEMPT_ENDED = new Event.AttemptEnded(
            0xab,
            0,
            "pages",
            "s-1",
            null,
            0xcd,
            7,
            AttemptStatus.OK,
            CacheStatus.HIT,
            49_990,
            0,
            900,
            512,
            List.of(1.5));
    private static final Event.EndpointsChanged ENDPOINTS_CHANGED = new Event.EndpointsChanged(
            3, false, List.of(new ListedEndpoint("s-1", "edge", "box", EndpointState.DRAINING, 5, 0)));

    private static void append(TraceLines lines, long unixUs, Event event) {
        lines.append(new Entry("f", 0, 0, unixUs, event));
    }

    @Test
    void eventIsALineOfFieldsAndClosingFlushes() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        TraceLines lines = new TraceLines(new PrintStream(bytes, false, StandardCharsets.UTF_8));
        append(lines, 1_000_000, new Event.RequestAdmitted(0xab, "pages", 0xcd, 7));
        append(lines, 1_000_010, new Event.AttemptSent(0xab, 0, "pages", "s-1", null, 0xcd, 7));
        append(lines, 1_050_000, ATTEMPT_ENDED);
        append(lines, 1_060_000, ENDPOINTS_CHANGED);
        append(lines, 1_070_000, new Event.ProxyStopped());
        append(lines, 1_080_000, new Event.EventsLost(3));
        lines.close();
        assertEquals("""
            @1000000\ttaken\tab\tpages\tcd\t7
            @1000010\tsent\tab\t0\tpages\ts-1\t-
            @1050000\tended\tab\t0\tpages\ts-1\t-\tOK\tHIT\t49990\t0\t512\t[1.5]
            @1060000\tlisted\t3\ts-1\tedge\tbox\tDRAINING\t5.0\t0
            @1080000\tlost\t3
            """, bytes.toString(StandardCharsets.UTF_8));
    }
}
