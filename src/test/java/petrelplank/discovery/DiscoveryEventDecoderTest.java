package petrelplank.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import petrelplank.proxy.DiscoveryEvent;
import petrelplank.routing.EndpointState;
import petrelplank.settings.FormatException;
import petrelplank.wire.ParserFuzzer;

class DiscoveryEventDecoderTest {
    private static final String CHANGE = "{\"index\":41,\"endpoints\":{\"generation\":7,\"reset\":false,\"instances\":"
            + "[{\"instanceId\":\"s-1\",\"hostPort\":\"127.0.0.9:4100\",\"zone\":\"east\",\"machineType\":\"std\","
            + "\"cell\":2,\"lifecycle\":\"leaving\",\"weight\":4,\"startedAtMs\":5}]}}";
    private static final byte[] STREAM = (CHANGE + "\n{\"index\":41}\n{\"index\":42,\"evict\":{\"ref\":"
                    + "\"ff3a9c21e0b4d655\",\"unix_ms\":17}}\n{\"index\":43,\"evict\":{\"shard\":17,\"unix_ms\":18}}\n43\n"
                    + "{\"index\":44,\"news\":1}\n")
            .getBytes(StandardCharsets.UTF_8);

    private static List<DiscoveryEvent> decodeAll(byte[] bytes, long fragmentSeed) {
        List<DiscoveryEvent> events = new ArrayList<>();
        LineSplitter splitter = new LineSplitter();
        ParserFuzzer.feed(
                bytes,
                fragmentSeed,
                input -> splitter.feed(input, line -> events.add(DiscoveryEventDecoder.decode(line))));
        return events;
    }

    /** A heartbeat may be an object with only an index; when it was decoded as a list, every connection broke. */
    @Property(seed = "31", tries = 200)
    void fragmentedEventsAreDecoded(@ForAll long fragmentSeed) {
        List<DiscoveryEvent> events = decodeAll(STREAM, fragmentSeed);
        DiscoveryEvent.EndpointChange change = (DiscoveryEvent.EndpointChange) events.get(0);
        assertEquals(EndpointState.DRAINING, change.entries().get(0).endpoint().state());
        assertEquals(5000, change.entries().get(0).endpoint().startedUs());
        assertEquals(4100, change.entries().get(0).address().getPort());
        assertEquals(
                List.of(
                        new DiscoveryEvent.Heartbeat(41),
                        new DiscoveryEvent.Purge(42, Long.parseUnsignedLong("ff3a9c21e0b4d655", 16), -1, 17),
                        new DiscoveryEvent.Purge(43, null, 17, 18),
                        new DiscoveryEvent.Heartbeat(43),
                        new DiscoveryEvent.Unknown(44)),
                events.subList(1, events.size()));
    }

    @Property(seed = "32", tries = 1000)
    void corruptedEventsAreDecodedOrRejected(@ForAll long seed) {
        LineSplitter splitter = new LineSplitter();
        assertTrue(ParserFuzzer.acceptsOrRejects(
                ParserFuzzer.corrupt(STREAM, seed),
                seed,
                FormatException.class,
                input -> splitter.feed(input, line -> {
                    if (!line.isEmpty()) {
                        DiscoveryEventDecoder.decode(line);
                    }
                })));
    }

    @Test
    void tooLongLineIsRejected() {
        assertThrows(
                FormatException.class,
                () -> new LineSplitter().feed(ByteBuffer.allocate(LineSplitter.MAX_LINE_BYTES + 1), line -> {}));
    }
}
