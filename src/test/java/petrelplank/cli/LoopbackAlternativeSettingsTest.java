package petrelplank.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import petrelplank.record.Event;
import petrelplank.upstream.FakeServer;

/**
 * Settings that the other loopback tests don't have: tenants, request coalescing, short freshness with a long
 * stale-if-error time; no load reports, no health checks, no hedging.
 */
class LoopbackAlternativeSettingsTest extends LoopbackFixture {
    private static final String KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
    private static final Pattern MAX_AGE = Pattern.compile(",oldest=(\\d+)");
    private static final int BURST = 12;

    @Override
    String settings() {
        return SETTINGS.replace(
                        "\"report\":{\"fields\":[\"concurrent\"],\"how\":\"answers\"}",
                        "\"report\":{\"fields\":[],\"how\":\"none\"}")
                .replace("\"probing\":true", "\"probing\":false")
                .replace("\"merges-fills\":false", "\"merges-fills\":true")
                .replace("\"second-copies\":true", "\"second-copies\":false")
                .replace("\"max-age-us\":[0,0,0]", "\"max-age-us\":[2000000,0,0]")
                .replace("\"class-grace-us\":[0,0,0]", "\"class-grace-us\":[60000000,0,0]")
                .replace("\"balancers\":1", "\"balancers\":4")
                .replace("\"crew-by-zone\":[0,1]", "\"crew-by-zone\":[0,4]")
                .replace(
                        "\"weights\":\"rough\"",
                        "\"weights\":\"rough\",\"over-share-worth\":0.1,\"tenants\":["
                                + "{\"name\":\"small\",\"allowance-per-s\":0.001},{\"name\":\"large\",\"allowance-per-s\":1000}]");
    }

    private static long maxAgeMs(FakeServer.Line fetch) {
        Matcher oldest = MAX_AGE.matcher(fetch.text());
        assertThat(oldest.find()).as(fetch.text()).isTrue();
        return Long.parseLong(oldest.group(1));
    }

    /** Without load reports responses alone count; a cache gets no health check, and a report all the same is no fault. */
    @Test
    void servesWithoutReportsAndAsksForNone() throws IOException, InterruptedException {
        for (int i = 0; i < 5; i++) {
            String id = "aaaaaaaaaaaaaaa" + i;
            sendRequest(1, id, "media");
            String report = i == 3 ? "meter=inflight:7;util:0.61," : "";
            cache.awaitLine().reply(id + " ACK " + report + "tell=HIT 3\r\none\r\n");
            assertThat(client.readResponse()).startsWith("1 Status: 200").endsWith("one");
        }
        assertThat(cache.hasNoQueuedLines() && parent.hasNoQueuedLines() && origin.hasNoQueuedLines())
                .as("no health check")
                .isTrue();
    }

    /** A request may be coalesced with a fill under way, unless the fill may bring what a purge forbids. */
    @Test
    void fillsAreCoalescedUnlessAPurgeCameBefore() throws IOException, InterruptedException {
        sendRequest(1, "aaaaaaaaaaaaaaaa", "media");
        FakeServer.Line fetch = cache.awaitLine();
        assertThat(fetch.text()).contains(",from=p-1").containsPattern(",mode=\\S*share");
        fetch.reply("aaaaaaaaaaaaaaaa ACK tell=COLLAPSED,waited=12 3\r\none\r\n");
        assertThat(client.readResponse()).startsWith("1 Status: 200").endsWith("one");
        sendDiscoveryEvent("{\"index\":2,\"evict\":{\"shard\":17,\"unix_ms\":" + System.currentTimeMillis() + "}}");
        sendRequest(2, "bbbbbbbbbbbbbbbb", "media");
        FakeServer.Line after = cache.awaitLine();
        assertThat(after.text()).doesNotContain("share").doesNotContain("swr");
        assertThat(maxAgeMs(after)).as("no copy from before the purge").isLessThanOrEqualTo(2000);
        after.reply("bbbbbbbbbbbbbbbb ACK tell=MISS 3\r\ntwo\r\n");
        assertThat(client.readResponse()).endsWith("two");
    }

    /** A stale copy is allowed only after a failed attempt at a fresh one, within the stale-if-error time. */
    @Test
    void staleCopyIsAllowedOnlyWhereNoFreshOneIsHad() throws IOException, InterruptedException {
        sendRequest(1, "aaaaaaaaaaaaaaaa", "media");
        FakeServer.Line fresh = cache.awaitLine();
        assertThat(maxAgeMs(fresh)).isEqualTo(2000);
        assertThat(fresh.text()).containsPattern(",mode=\\S*swr");
        fresh.reply("aaaaaaaaaaaaaaaa NOENT tell=UP_MISS 0\r\n\r\n");
        FakeServer.Line old = cache.awaitLine();
        assertThat(maxAgeMs(old)).isEqualTo(62_000);
        old.reply("aaaaaaaaaaaaaaaa ACK tell=STALE 3\r\nold\r\n");
        assertThat(client.readResponse()).startsWith("1 Status: 200").endsWith("old");
    }

    /** A response that comes twice ends one attempt, and not the retry of its request at the same cache. */
    @Test
    void responseThatComesTwiceDoesNotEndTheRetry() throws IOException, InterruptedException {
        sendRequest(1, "aaaaaaaaaaaaaaaa", "media");
        FakeServer.Line first = cache.awaitLine();
        first.reply("aaaaaaaaaaaaaaaa NOENT tell=UP_MISS 0\r\n\r\n");
        FakeServer.Line retry = cache.awaitLine();
        assertThat(retry.word(1)).isEqualTo("aaaaaaaaaaaaaaaa");
        first.reply("aaaaaaaaaaaaaaaa NOENT tell=UP_MISS 0\r\n\r\n");
        sendRequest(2, "bbbbbbbbbbbbbbbb", "media");
        FakeServer.Line other = cache.awaitLine();
        assertThat(other.word(1)).as("the next command of all").isEqualTo("bbbbbbbbbbbbbbbb");
        other.reply("bbbbbbbbbbbbbbbb ACK tell=HIT 3\r\ntwo\r\n");
        assertThat(client.readResponse()).startsWith("2 Status: 200").endsWith("two");
        retry.reply("aaaaaaaaaaaaaaaa ACK tell=HIT 3\r\none\r\n");
        assertThat(client.readResponse()).startsWith("1 Status: 200").endsWith("one");
        assertThat(cache.hasNoQueuedLines() && parent.hasNoQueuedLines() && origin.hasNoQueuedLines())
                .as("no third attempt")
                .isTrue();
    }

    /** Without hedging, the first attempt is cancelled on the wire before the next one is written. */
    @Test
    void unresponsiveAttemptIsCancelledBeforeTheNextOneIsWritten() throws IOException, InterruptedException {
        sendRequest(1, "aaaaaaaaaaaaaaaa", "media");
        FakeServer.Line first = cache.awaitLine();
        assertThat(first.text()).startsWith("fetch aaaaaaaaaaaaaaaa ");
        clock.advance(9_000_000);
        assertThat(cache.awaitLine().text()).isEqualTo("abort aaaaaaaaaaaaaaaa");
        FakeServer.Line again = parent.awaitLine();
        assertThat(again.word(1)).isEqualTo("aaaaaaaaaaaaaaaa");
        again.reply("aaaaaaaaaaaaaaaa ACK tell=HIT 3\r\none\r\n");
        assertThat(client.readResponse()).startsWith("1 Status: 200").endsWith("one");
    }

    /** X-Tenant reaches the router: more of a burst over its quota is rejected than of one within. */
    @Test
    void tenantOverItsQuotaIsRejectedFirst() throws IOException, InterruptedException {
        int sentOfLarge = sentOfABurst("large", 'a');
        for (int i = 0; i < sentOfLarge; i++) {
            FakeServer.Line fetch = cache.awaitLine();
            fetch.reply(fetch.word(1) + " ACK tell=HIT 3\r\none\r\n");
            client.readResponse();
        }
        assertThat(sentOfABurst("small", 'b')).isLessThan(sentOfLarge);
    }

    /** Asks for {@code BURST} requests at once; the number that was sent on, once the rejections of the others are read. */
    private int sentOfABurst(String tenant, char idStart) throws IOException, InterruptedException {
        int before = recordedEvents.size();
        for (int i = 0; i < BURST; i++) {
            String request = idStart + "00000000000000" + Integer.toHexString(i);
            client.sendRequest(i + 1, "/invoke/media", NO_BODY, RequestHeaders.of(request, "X-Tenant", tenant));
        }
        int sent = 0;
        int rejected = 0;
        for (int polls = 0; polls < 4000 && sent + rejected < BURST; polls++) {
            Thread.sleep(5);
            List<Event> all = List.copyOf(recordedEvents);
            List<Event> since = all.subList(before, all.size());
            sent = count(since, Event.AttemptSent.class);
            rejected = count(since, Event.RequestCompleted.class);
        }
        assertThat(sent + rejected).isEqualTo(BURST);
        for (int i = 0; i < rejected; i++) {
            assertThat(client.readResponse()).contains("Status: 503");
        }
        return sent;
    }

    private static int count(List<Event> events, Class<? extends Event> type) {
        return (int) events.stream().filter(type::isInstance).count();
    }

    /** A write with an idempotency key is retried only where that arrives in the key's window, a connect included. */
    @Test
    void keyedRetryArrivesInsideItsWindowOrIsNotSent() throws IOException, InterruptedException {
        resetKeyedWriteAfter("aaaaaaaaaaaa1000", 1_000);
        FakeServer.Line retry = parent.awaitLine();
        assertThat(retry.text()).startsWith("fetch aaaaaaaaaaaa1000").contains(",nonce=" + KEY);
        parent.awaitLine();
        retry.reply("aaaaaaaaaaaa1000 ACK - 2\r\nok\r\n");
        assertThat(client.readResponse()).endsWith("ok");

        resetKeyedWriteAfter("aaaaaaaaaaaa2700", 2_700);
        assertThat(client.readResponse()).startsWith("1 Status: 504");
        assertThat(parent.hasNoQueuedLines() && origin.hasNoQueuedLines()).isTrue();
    }

    private void resetKeyedWriteAfter(String request, long laterMs) throws IOException, InterruptedException {
        String[] headers = RequestHeaders.of(request, "Idempotency-Key", KEY);
        client.sendRequest(1, "/invoke/receipt", "mark".getBytes(), headers);
        FakeServer.Line first = origin.awaitLine();
        origin.awaitLine();
        clock.advance(laterMs * 1000);
        first.reset();
    }
}
