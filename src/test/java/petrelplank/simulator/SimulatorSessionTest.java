package petrelplank.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Tests the simulator protocol: the replies to batches of events. */
class SimulatorSessionTest {
    /** Settings as the simulator sends them, with fields that the program does not read. */
    private static final String SETUP = """
        {"balancers":1,"caps":{"cancel":true,"connect-timeout-us":400000,"max-retry-after-us":500000,
        "peer-messages":false,"probing":false,"retry-after":true,"second-copies":false,"try-limit":8},
        "discovery":"automatic","family-info":{"class-grace-us":[0],"class-write":[false],"crew-by-zone":[0,1],
        "flow-kb-per-s":8000.0,"hub-of":[0,0],"max-age-us":[0],"merges-fills":true,"neighbours":"any",
        "note-level":"all","notice-time-us":500000,"origin-kind":2,"parent-breaks-at":2.0,"parent-cold-from":0.08,
        "parent-cold-us":21000000,"pass-through-ok":true,"purge-done-us":6000000,"upper-kind":1},
        "kinds":["box","parent","origin"],"localities":["north","edge-1"],"report":{"fields":[],"how":"none"},
        "rules":{"ask-every-us":10000000,"cold-from":0.16,"fall-multiple":2.5,"fall-us":1000000,
        "stop-sending-within-us":2000000,"warm-after-us":18000000},"self-index":0,"new-key":[1,{"a":null}],
        "services":[{"aim-stretch":2.0,"aim-us":400000,"deadline-us":6000000,"group":"all","key-ttl-us":5000000,
        "late-worth":0.15,"name":"video","repeat":"free","stream":false,"worth":2.0}],"weights":"rough",
        "zone":"edge-1"}""".replace("\n", "");
    /** Provisions proxy 3 with a cache and its parent. */
    private static final String PROVISION_LINE = "{\"clock-us\":5,\"in\":[{\"verb\":\"PROVISION\",\"gateway\":3,"
            + "\"nonce64\":9223372036854775807,\"setup\":" + SETUP
            + "},{\"verb\":\"MANIFEST\",\"list\":0,\"nodes-list\":"
            + "[{\"cache\":\"c-1\",\"rack-zone\":\"edge-1\",\"hw\":\"box\",\"block\":0,\"mode\":\"up\",\"share\":5,"
            + "\"born-us\":null},{\"cache\":\"p-1\",\"rack-zone\":\"north\",\"hw\":\"parent\",\"block\":1,\"mode\":\"up\","
            + "\"share\":5,\"born-us\":0}]},{\"verb\":\"REGISTRY\",\"gateway\":3,\"list\":0,\"how\":\"C\",\"gen\":1}]}\n";

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

    private int run(String lines) throws IOException {
        return SimulatorAdapter.run(
                new ByteArrayInputStream(lines.getBytes(StandardCharsets.UTF_8)),
                output,
                new PrintStream(errors, true, StandardCharsets.UTF_8));
    }

    private String output() {
        return output.toString(StandardCharsets.UTF_8);
    }

    private String errors() {
        return errors.toString(StandardCharsets.UTF_8);
    }

    private static String requestLine(String extraFields) {
        return "{\"clock-us\":9,\"in\":[{\"verb\":\"ACCEPT\",\"gateway\":3,\"job\":\"rq_1\",\"label-no\":1,"
                + "\"is-write\":false,\"resource\":\"91f03b7c55d20a64\",\"grade\":\"video\",\"not-after-us\":4000009,"
                + "\"part\":0,\"length-kb\":640,\"billing\":null,\"repeat\":false" + extraFields + "}]}\n";
    }

    @Test
    void emptyBatchGetsAnEmptyReply() throws IOException {
        assertEquals(0, run("{\"clock-us\":1,\"in\":[]}\n"));
        assertEquals("{\"out\":[]}\n", output());
    }

    @Test
    void requestIsRoutedViaItsCacheAndParent() throws IOException {
        assertEquals(0, run(PROVISION_LINE + requestLine(",\"unheard-of\":{\"x\":[1]}")));
        String reply = output().split("\n")[1];
        assertTrue(
                reply.startsWith("{\"out\":[{\"verb\":\"SERVE_VIA\",\"gateway\":3,\"job\":\"rq_1\","
                        + "\"cache\":\"c-1\",\"limit-us\":"),
                reply);
        assertTrue(reply.contains("\"fill-from\":\"p-1\""), reply);
    }

    /** The tenant is a string; for a request without a tenant it is absent, null or 0. */
    @Test
    void tenantIsANameOrNone() throws IOException {
        for (String tenant : new String[] {"\"acme\"", "null", "0"}) {
            output.reset();
            assertEquals(
                    0,
                    run(PROVISION_LINE + requestLine("").replace("\"billing\":null", "\"billing\":" + tenant)),
                    tenant);
            assertTrue(output().contains("SERVE_VIA"), tenant);
        }
        assertEquals(1, run(PROVISION_LINE + requestLine("").replace("\"billing\":null", "\"billing\":7")));
        assertTrue(errors().contains("\"billing\" should be a string"), errors());
    }

    @Test
    void unknownRequestIsIgnored() throws IOException {
        assertEquals(
                0,
                run(PROVISION_LINE + "{\"clock-us\":9,\"in\":[{\"verb\":\"CLIENT_GONE\",\"gateway\":3,"
                        + "\"job\":\"rq_9\"}]}\n"));
        assertTrue(output().endsWith("{\"out\":[]}\n"));
    }

    @Test
    void invalidLineIsReportedWithoutOutput() throws IOException {
        assertEquals(1, run("{\"clock-us\":1,\"in\":[}\n"));
        assertTrue(errors().startsWith("line 1: not JSON"), errors());
        assertEquals(0, output.size());
    }

    @Test
    void missingAndInvalidFieldsAreReportedByName() throws IOException {
        assertEquals(1, run(PROVISION_LINE + "{\"clock-us\":9,\"in\":[{\"verb\":\"TIMEOUT_FIRED\",\"gateway\":3}]}\n"));
        assertTrue(errors().contains("line 2: event 0: \"nonce\" is missing"));
        errors.reset();
        assertEquals(1, run("{\"in\":[],\"clock-us\":\"x\"}\n"));
        assertTrue(errors().contains("\"clock-us\" should be a whole number, found x"));
    }

    @Test
    void routerExceptionIsReportedAsCrash() throws IOException {
        assertEquals(0, run(PROVISION_LINE.replace("\"zone\":\"edge-1\"", "\"zone\":\"nowhere\"")));
        String reply = output();
        assertTrue(reply.contains("\"verb\":\"CRASH\"") && reply.contains("zone (must be one of localities)"), reply);
    }
}
