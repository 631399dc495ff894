package petrelplank.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import petrelplank.record.Event;
import petrelplank.upstream.FakeServer;

/** A site with other settings: no load reports, no probes, joined fills, copies with a short fresh time and long grace. */
class LoopbackAlternativeSettingsTest extends LoopbackFixture {
    private static final String KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";

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

    private static long oldestMs(FakeServer.Line fetch) {
        Matcher oldest = Pattern.compile(",oldest=(\\d+)").matcher(fetch.text());
        assertThat(oldest.find()).as(fetch.text()).isTrue();
        return Long.parseLong(oldest.group(1));
    }

    /** Without reports the answers alone tell; nothing else is asked of a cache, and a report all the same is no fault. */
    @Test
    void servesWithoutReportsAndAsksForNone() throws IOException, InterruptedException {
        for (int i = 0; i < 5; i++) {
            String id = "aaaaaaaaaaaaaaa" + i;
            ask(1, id, "media");
            String report = i == 3 ? "meter=inflight:7;util:0.61," : "";
            cache.next().reply(id + " ACK " + report + "tell=HIT 3\r\none\r\n");
            assertThat(client.answer()).startsWith("1 Status: 200").endsWith("one");
        }
        assertThat(cache.quiet() && parent.quiet() && origin.quiet())
                .as("no probe")
                .isTrue();
    }

    /** Fills under way may be joined, but for those that may bring what a purge forbids. */
    @Test
    void fillsAreJoinedUnlessAPurgeCameBefore() throws IOException, InterruptedException {
        ask(1, "aaaaaaaaaaaaaaaa", "media");
        FakeServer.Line fetch = cache.next();
        assertThat(fetch.text()).contains(",from=p-1").containsPattern(",mode=\\S*share");
        fetch.reply("aaaaaaaaaaaaaaaa ACK tell=COLLAPSED,waited=12 3\r\none\r\n");
        assertThat(client.answer()).startsWith("1 Status: 200").endsWith("one");
        coordinatorTells("{\"index\":2,\"evict\":{\"shard\":17,\"unix_ms\":" + System.currentTimeMillis() + "}}");
        ask(2, "bbbbbbbbbbbbbbbb", "media");
        FakeServer.Line after = cache.next();
        assertThat(after.text()).doesNotContain("share").doesNotContain("swr");
        assertThat(oldestMs(after)).as("no copy from before the purge").isLessThanOrEqualTo(2000);
        after.reply("bbbbbbbbbbbbbbbb ACK tell=MISS 3\r\ntwo\r\n");
        assertThat(client.answer()).endsWith("two");
    }

    /** An old copy will do only after a first look for a fresh one, and no older than fresh time and grace together. */
    @Test
    void graceIsUsedOnlyWhereNothingFreshIsHad() throws IOException, InterruptedException {
        ask(1, "aaaaaaaaaaaaaaaa", "media");
        FakeServer.Line fresh = cache.next();
        assertThat(oldestMs(fresh)).isEqualTo(2000);
        assertThat(fresh.text()).containsPattern(",mode=\\S*swr");
        fresh.reply("aaaaaaaaaaaaaaaa NOENT tell=UP_MISS 0\r\n\r\n");
        FakeServer.Line old = cache.next();
        assertThat(oldestMs(old)).isEqualTo(62_000);
        old.reply("aaaaaaaaaaaaaaaa ACK tell=STALE 3\r\nold\r\n");
        assertThat(client.answer()).startsWith("1 Status: 200").endsWith("old");
    }

    /** An answer that comes twice ends one attempt: not the retry of its request at the same cache, which is still out. */
    @Test
    void answerThatComesTwiceDoesNotEndTheRetry() throws IOException, InterruptedException {
        ask(1, "aaaaaaaaaaaaaaaa", "media");
        FakeServer.Line first = cache.next();
        first.reply("aaaaaaaaaaaaaaaa NOENT tell=UP_MISS 0\r\n\r\n");
        FakeServer.Line retry = cache.next();
        assertThat(retry.word(1)).isEqualTo("aaaaaaaaaaaaaaaa");
        first.reply("aaaaaaaaaaaaaaaa NOENT tell=UP_MISS 0\r\n\r\n");
        ask(2, "bbbbbbbbbbbbbbbb", "media");
        FakeServer.Line other = cache.next();
        assertThat(other.word(1)).as("the next command of all").isEqualTo("bbbbbbbbbbbbbbbb");
        other.reply("bbbbbbbbbbbbbbbb ACK tell=HIT 3\r\ntwo\r\n");
        assertThat(client.answer()).startsWith("2 Status: 200").endsWith("two");
        retry.reply("aaaaaaaaaaaaaaaa ACK tell=HIT 3\r\none\r\n");
        assertThat(client.answer()).startsWith("1 Status: 200").endsWith("one");
        assertThat(cache.quiet() && parent.quiet() && origin.quiet())
                .as("no third attempt")
                .isTrue();
    }

    /** No second copy: the first attempt is given up on the wire before the next one is written. */
    @Test
    void silentAttemptIsCalledOffBeforeTheNextOneIsWritten() throws IOException, InterruptedException {
        ask(1, "aaaaaaaaaaaaaaaa", "media");
        FakeServer.Line first = cache.next();
        assertThat(first.text()).startsWith("fetch aaaaaaaaaaaaaaaa ");
        laterUs.addAndGet(9_000_000);
        assertThat(cache.next().text()).isEqualTo("abort aaaaaaaaaaaaaaaa");
        FakeServer.Line again = parent.next();
        assertThat(again.word(1)).isEqualTo("aaaaaaaaaaaaaaaa");
        again.reply("aaaaaaaaaaaaaaaa ACK tell=HIT 3\r\none\r\n");
        assertThat(client.answer()).startsWith("1 Status: 200").endsWith("one");
    }

    /** X-Tenant reaches the router: a burst over its allowance is turned away sooner than one within. */
    @Test
    void aTenantOverItsAllowanceIsTurnedAwayFirst() throws IOException, InterruptedException {
        int large = sentOfABurst("large", 'a');
        for (int i = 0; i < large; i++) {
            FakeServer.Line fetch = cache.next();
            fetch.reply(fetch.word(1) + " ACK tell=HIT 3\r\none\r\n");
            client.answer();
        }
        assertThat(sentOfABurst("small", 'b')).isLessThan(large);
    }

    /** Of 12 requests at once, those that go out; the refusals of the others are read. */
    private int sentOfABurst(String tenant, char id) throws IOException, InterruptedException {
        int before = recorded.size();
        for (int i = 0; i < 12; i++) {
            client.ask(
                    i + 1,
                    "/invoke/media",
                    NOTHING,
                    "X-Request-Id",
                    (id + "00000000000000" + Integer.toHexString(i)),
                    "X-Timeout-Ms",
                    "60000",
                    "X-Object",
                    "7f3a9c21e0b4d655",
                    "X-N",
                    "0",
                    "X-Shard",
                    "17",
                    "X-Tenant",
                    tenant);
        }
        int sent = 0;
        int over = 0;
        for (int looks = 0; looks < 4000 && sent + over < 12; looks++) {
            Thread.sleep(5);
            List<Event> all = List.copyOf(recorded);
            List<Event> since = all.subList(before, all.size());
            sent = (int)
                    since.stream().filter(e -> e instanceof Event.AttemptSent).count();
            over = (int) since.stream()
                    .filter(e -> e instanceof Event.RequestCompleted)
                    .count();
        }
        assertThat(sent + over).isEqualTo(12);
        for (int i = 0; i < over; i++) {
            assertThat(client.answer()).contains("Status: 503");
        }
        return sent;
    }

    /** A keyed write is repeated only while the repeat arrives inside the window, a connect time-out counted in. */
    @Test
    void keyedRepeatArrivesInsideItsWindowOrIsNotSent() throws IOException, InterruptedException {
        for (long laterMs : new long[] {1_000, 2_700}) {
            String id = "aaaaaaaaaaaa" + laterMs;
            client.ask(
                    1,
                    "/invoke/receipt",
                    "mark".getBytes(),
                    "X-Request-Id",
                    id,
                    "X-Timeout-Ms",
                    "60000",
                    "X-Object",
                    "7f3a9c21e0b4d655",
                    "X-N",
                    "0",
                    "X-Shard",
                    "17",
                    "Idempotency-Key",
                    KEY);
            FakeServer.Line first = origin.next();
            origin.next();
            laterUs.addAndGet(laterMs * 1000);
            first.reset();
            if (laterMs < 2_600) {
                FakeServer.Line again = parent.next();
                assertThat(again.text()).startsWith("fetch " + id).contains(",nonce=" + KEY);
                parent.next();
                again.reply(id + " ACK - 2\r\nok\r\n");
                assertThat(client.answer()).endsWith("ok");
            } else {
                assertThat(client.answer()).startsWith("1 Status: 504");
                assertThat(parent.quiet() && origin.quiet()).isTrue();
            }
        }
    }
}
