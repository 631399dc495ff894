package petrelplank.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static petrelplank.routing.Recorder.MS;
import static petrelplank.routing.Recorder.S;
import static petrelplank.routing.Recorder.cache;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** The module as a whole: its size, odd input, and the same actions for the same events. */
class DecisionModuleTest {
    private final Recorder host = new Recorder().usual();

    @Test
    void moduleStaysShortEnoughToReadAtNight() throws IOException {
        List<String> lines = Files.readAllLines(Path.of("src/main/java/petrelplank/decision/Brain.java"));
        assertTrue(lines.stream().filter(l -> !l.isBlank()).count() <= 950);
        assertTrue(lines.stream().allMatch(l -> l.length() <= 110));
    }

    @Test
    void clockJumpOfMinutesKeepsDeciding() {
        host.fills(0, 50);
        String id = host.ask(1);
        host.now += 600 * S;
        host.end(id, Status.TIMEOUT, Note.NONE, MS);
        assertTrue(host.answered(id));
        assertEquals(50, host.fills(100, 150).size());
    }

    @Test
    void settingsWithoutParentsSiblingsSizesNotesOrWeightsStillDecide() {
        Recorder bare = new Recorder(new Settings(
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
                Weights.NONE,
                Notes.NONE,
                null,
                false,
                0,
                List.of(Recorder.VIDEO),
                new Allowed(2, false, false, false, false, false, 0, false, false, Siblings.NONE),
                new Rules(0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0)));
        bare.router.roster(
                bare.now,
                true,
                List.of(
                        new Member("a", "z", "box", 0, State.UP, 0, 0),
                        new Member("a", "z", "box", 0, State.UP, 0, 0)));
        String id = bare.ask(1);
        assertEquals("a", bare.last().server());
        bare.end(id, Status.OK, Note.NONE, 100 * MS);
        assertFalse(bare.answered(id));
    }

    @Test
    void lateEventsAreIgnored() {
        String id = host.ask(1);
        host.end(id, Status.OK, Note.HIT, 110 * MS);
        int before = host.all.size();
        host.end(id, Status.OK, Note.HIT, 110 * MS);
        host.router.clientGone(host.now, id);
        host.router.timer(host.now, 99);
        assertEquals(before, host.all.size());
    }

    @Test
    void sameEventsGiveSameActions() {
        Recorder other = new Recorder().usual();
        host.fills(0, 300);
        other.fills(0, 300);
        assertEquals(host.all, other.all);
    }

    @Test
    void strayMessagesReportsAndProbesChangeNothing() {
        Recorder plain = new Recorder().usual();
        host.router.message(host.now, 77, new byte[] {1, 2});
        host.router.message(host.now, -1, new byte[300]);
        host.router.probed(host.now, "nobody", Status.OK, 5, new double[] {Double.NaN, 1e9});
        String id = host.ask(1);
        plain.ask(1);
        host.router.outcome(host.now, new Outcome(id, 5, Status.OK, 1, false, Note.HIT, 0, new double[] {-1}, 0));
        assertEquals(plain.all, host.all);
    }

    @Test
    void badSettingIsNamed() {
        IllegalArgumentException e = assertThrows(
                IllegalArgumentException.class, () -> new Rules(-1, 0.2, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0));
        assertTrue(e.getMessage().contains("drainGraceUs") && e.getMessage().contains("-1"), e.getMessage());
    }

    /** Lists with doubled and unknown ids, and a server that goes and comes back, lose nothing. */
    @Test
    void oddListsAreTakenAsTheyStand() {
        host.change(cache("a", 0), cache("a", 0), new Member("nobody", "office", "box", 0, State.GONE, 5, 0));
        host.change(new Member("b", "office", "box", 0, State.GONE, 5, 0));
        String id = host.ask(1);
        host.change(new Member("b", "office", "box", 0, State.GONE, 5, 0), cache("b", host.now));
        host.end(id, Status.OK, Note.FILLED, 110 * MS);
        Set<String> servers = new TreeSet<>();
        host.now += 20 * S;
        host.fills(0, 200).forEach(o -> servers.add(o.server()));
        assertEquals(Set.of("a", "b", "c", "d"), servers);
    }
}
