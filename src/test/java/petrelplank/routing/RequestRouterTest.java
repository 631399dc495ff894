package petrelplank.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static petrelplank.routing.RouterFixture.MS;
import static petrelplank.routing.RouterFixture.S;
import static petrelplank.routing.RouterFixture.cache;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The module as a whole: its size, odd input, and the same actions for the same events. */
class RequestRouterTest {
    private static final int MAX_LINES = 250;
    private static final int MAX_COLUMNS = 120;

    private final RouterFixture host = new RouterFixture().usual();

    /** Each concern stays short enough to be read as a whole. */
    @Test
    void everyFileOfThePackageIsShort() throws IOException {
        List<Path> files = sourceFiles();
        assertTrue(files.size() > 1, "found " + files);
        for (Path file : files) {
            List<String> lines = Files.readAllLines(file);
            assertTrue(lines.size() <= MAX_LINES, file + " has " + lines.size() + " lines");
            assertTrue(lines.stream().allMatch(line -> line.length() <= MAX_COLUMNS), file + " has a long line");
        }
    }

    private static List<Path> sourceFiles() throws IOException {
        try (Stream<Path> files = Files.list(Path.of("src/main/java/petrelplank/routing"))) {
            return files.filter(file -> file.toString().endsWith(".java")).toList();
        }
    }

    @Test
    void clockJumpOfMinutesKeepsDeciding() {
        host.fills(0, 50);
        String id = host.ask(1);
        host.now += 600 * S;
        host.end(id, AttemptStatus.TIMEOUT, CacheStatus.NONE, MS);
        assertTrue(host.answered(id));
        assertEquals(50, host.fills(100, 150).size());
    }

    @Test
    void settingsWithoutParentsSiblingsSizesNotesOrWeightsStillDecide() {
        RouterFixture bare = new RouterFixture(new RouterSettings(
                0,
                1,
                "z",
                List.of("z"),
                null,
                null,
                null,
                null,
                null,
                0,
                WeightMeaning.NONE,
                CacheStatusDetail.NONE,
                null,
                false,
                0,
                List.of(RouterFixture.VIDEO),
                new RoutingPermissions(2, false, false, false, false, false, 0, false, false, SiblingFillPolicy.NONE),
                new PlatformRules(0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0),
                null,
                0));
        bare.router.endpointsChanged(
                bare.now,
                true,
                List.of(
                        new EndpointInfo("a", "z", "box", 0, EndpointState.UP, 0, 0),
                        new EndpointInfo("a", "z", "box", 0, EndpointState.UP, 0, 0)));
        String id = bare.ask(1);
        assertEquals("a", bare.last().server());
        bare.end(id, AttemptStatus.OK, CacheStatus.NONE, 100 * MS);
        assertFalse(bare.answered(id));
    }

    @Test
    void lateEventsAreIgnored() {
        String id = host.ask(1);
        host.end(id, AttemptStatus.OK, CacheStatus.HIT, 110 * MS);
        int before = host.all.size();
        host.end(id, AttemptStatus.OK, CacheStatus.HIT, 110 * MS);
        host.router.clientDisconnected(host.now, id);
        host.router.timerFired(host.now, 99);
        assertEquals(before, host.all.size());
    }

    @Test
    void sameEventsGiveSameActions() {
        RouterFixture other = new RouterFixture().usual();
        host.fills(0, 300);
        other.fills(0, 300);
        assertEquals(host.all, other.all);
    }

    @Test
    void strayMessagesReportsAndProbesChangeNothing() {
        RouterFixture plain = new RouterFixture().usual();
        host.router.gossipReceived(host.now, 77, new byte[] {1, 2});
        host.router.gossipReceived(host.now, -1, new byte[300]);
        host.router.healthChecked(host.now, "nobody", AttemptStatus.OK, 5, new double[] {Double.NaN, 1e9});
        String id = host.ask(1);
        plain.ask(1);
        host.router.attemptEnded(
                host.now,
                new AttemptOutcome(id, 5, AttemptStatus.OK, 1, false, CacheStatus.HIT, 0, new double[] {-1}, 0));
        assertEquals(plain.all, host.all);
    }

    @Test
    void badSettingIsNamed() {
        IllegalArgumentException thrown = assertThrows(
                IllegalArgumentException.class, () -> new PlatformRules(-1, 0.2, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0));
        assertTrue(
                thrown.getMessage().contains("drainGraceUs")
                        && thrown.getMessage().contains("-1"),
                thrown.getMessage());
    }

    /** Lists with doubled and unknown ids, and a server that goes and comes back, lose nothing. */
    @Test
    void oddListsAreTakenAsTheyStand() {
        host.change(
                cache("a", 0),
                cache("a", 0),
                new EndpointInfo("nobody", "office", "box", 0, EndpointState.REMOVED, 5, 0));
        host.change(new EndpointInfo("b", "office", "box", 0, EndpointState.REMOVED, 5, 0));
        String id = host.ask(1);
        host.change(new EndpointInfo("b", "office", "box", 0, EndpointState.REMOVED, 5, 0), cache("b", host.now));
        host.end(id, AttemptStatus.OK, CacheStatus.FILLED, 110 * MS);
        Set<String> servers = new TreeSet<>();
        host.now += 20 * S;
        host.fills(0, 200).forEach(o -> servers.add(o.server()));
        assertEquals(Set.of("a", "b", "c", "d"), servers);
    }
}
