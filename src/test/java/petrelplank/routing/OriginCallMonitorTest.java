package petrelplank.routing;

import static org.assertj.core.api.Assertions.assertThat;
import static petrelplank.routing.RouterFixture.MS;
import static petrelplank.routing.RouterFixture.S;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * The origin's link is thin: where too many fills share it, each crawls though its first byte came soon, and the fills
 * of clients that have left run on. Nothing told of it, and goodput by way of the origin fell to a fiftieth.
 */
class OriginCallMonitorTest {
    private final RouterFixture host = new RouterFixture(RouterFixture.settings(
                    WeightMeaning.ROUGH,
                    CacheStatusDetail.ALL,
                    RouterFixture.permissions(),
                    2,
                    List.of("concurrent", "x0", "x1")))
            .usual();
    /** Use of the location's link in all reports. */
    private double linkUse = 0.4;

    /** A fill ends after {@code latencyUs}, its first byte after {@code waitUs}. */
    private void end(String id, AttemptStatus status, CacheStatus note, long latencyUs, long waitUs) {
        host.now += latencyUs;
        host.router.attemptEnded(
                host.now,
                new AttemptOutcome(
                        id,
                        host.attempts(id) - 1,
                        status,
                        latencyUs,
                        status == AttemptStatus.OK,
                        note,
                        waitUs,
                        new double[] {1, 0.5, linkUse},
                        0));
    }

    /** Of ten further misses, how many may not call the origin. */
    private long spared() {
        int before = host.sent.size();
        for (int i = 10_000; i < 10_010; i++) {
            host.ask(i);
        }
        return host.sent.subList(before, host.sent.size()).stream()
                .filter(s -> s.order().onlyIfCached()
                        || s.order().server().equals(s.order().source()))
                .count();
    }

    /** One fill in two by way of the origin, {@code crawlUs} to send; the others in {@code pacedUs}. */
    private void fills(long crawlUs, long pacedUs) {
        for (int i = 0; i < 40; i++) {
            String id = host.ask(i);
            boolean way = i % 2 == 0 && !host.last().onlyIfCached();
            end(
                    id,
                    AttemptStatus.OK,
                    way ? CacheStatus.FILLED_FROM_ORIGIN : CacheStatus.FILLED,
                    (way ? crawlUs : pacedUs) + 10 * MS,
                    10 * MS);
        }
    }

    @Test
    void fillsThatCrawlBehindAnEarlyFirstByteCutTheOriginsShare() {
        fills(2 * S, 110 * MS);
        assertThat(spared()).isGreaterThanOrEqualTo(4);
        assertThat(host.lines).anyMatch(line -> line.startsWith("origin overloaded"));
        assertThat(host.lines).as("no hub is blamed").noneMatch(line -> line.startsWith("ejected: p-"));
    }

    @Test
    void fillsByWayOfTheOriginAtTheUsualPaceCutNothing() {
        fills(110 * MS, 110 * MS);
        assertThat(spared()).isZero();
    }

    /** Where the location's own link is reported as full, it is no wonder that fills take as long. */
    @Test
    void aJamOfTheLocationsOwnLinkIsNotTheOrigins() {
        linkUse = 6;
        fills(900 * MS, 900 * MS);
        assertThat(host.lines).noneMatch(line -> line.startsWith("origin overloaded"));
    }

    /** Nothing came in all its time, while cache and hub answered others: what lies behind the hub is short. */
    @Test
    void fillsThatNeverEndWhileTheirCacheAndHubAnswerOthersCutTheOriginsShare() {
        assertThat(sparedAfterTimeOuts(true)).isGreaterThanOrEqualTo(4);
    }

    /** A cache or a hub that answers nobody is at fault itself. */
    @Test
    void fillsThatNeverEndAtASilentCacheTellNothingOfTheOrigin() {
        assertThat(sparedAfterTimeOuts(false)).isZero();
    }

    private long sparedAfterTimeOuts(boolean othersAnswered) {
        for (int i = 0; i < 30; i++) {
            String stuck = host.ask(i);
            String server = host.last().server();
            String source = host.last().source();
            long fromUs = host.now;
            for (int k = 0; othersAnswered && k < 40; k++) {
                String other = host.ask(1000 + 40 * i + k);
                boolean same = host.last().server().equals(server)
                        && host.last().source().equals(source);
                end(other, AttemptStatus.OK, CacheStatus.FILLED, 110 * MS, 10 * MS);
                if (same) {
                    break;
                }
            }
            host.now = Math.max(host.now, fromUs + 3900 * MS);
            host.router.attemptEnded(
                    host.now,
                    new AttemptOutcome(
                            stuck, 0, AttemptStatus.TIMEOUT, host.now - fromUs, false, CacheStatus.NONE, 0, null, 0));
        }
        return spared();
    }
}
