package petrelplank.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import petrelplank.routing.CacheStatusDetail;
import petrelplank.routing.Idempotency;
import petrelplank.routing.IdempotencyScope;
import petrelplank.routing.RouterSettings;
import petrelplank.routing.SiblingFillPolicy;
import petrelplank.routing.WeightMeaning;

/** Absent settings get their documented default; missing required, mistyped or contradictory ones are rejected. */
class SettingsParserTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String SETTINGS = """
        {"balancers":4,"caps":{"cancel":true,"connect-timeout-us":400000,"conn-idle-us":15000000,"max-streams":100,
        "max-retry-after-us":500000,"peer-messages":false,"probing":false,"retry-after":true,"second-copies":false,
        "try-limit":8},"discovery":"automatic","family-info":{"class-grace-us":[20000000,0],"class-write":[false,true],
        "crew-by-zone":[0,4],"flow-kb-per-s":8000.0,"hub-of":[0,0],"max-age-us":[2000000,0],"merges-fills":true,
        "neighbours":"any","note-level":"all","notice-time-us":500000,"old-copy-worth":[0.5,1],"origin-kind":2,
        "origin-over-for-us":3000000,"parent-breaks-at":2.0,"parent-cold-from":0.08,"parent-cold-us":21000000,
        "pass-through-ok":true,"purge-done-us":6000000,"root-fall-multiple":2.5,"upper-kind":1,
        "zone-link-kb-per-s":[0,90000.5]},"kinds":["box","parent","origin"],"localities":["north","edge-1"],
        "over-share-worth":0.1,"report":{"fields":["load_share"],"how":"answers"},"rules":{"ask-every-us":10000000,
        "cold-from":0.16,"fall-multiple":2.5,"fall-us":1000000,"stop-sending-within-us":2000000,
        "warm-after-us":18000000},"self-index":0,"services":[{"aim-stretch":2.0,"aim-us":400000,"deadline-us":6000000,
        "group":"all","key-ttl-us":5000000,"late-worth":0.15,"name":"video","repeat":"free","stream":false,
        "worth":2.0},{"aim-stretch":0,"aim-us":600000,"deadline-us":3000000,"group":"zone","key-ttl-us":5000000,
        "late-worth":0,"name":"mark","repeat":"guarded","stream":false,"worth":3.0}],"tenants":[{"name":"acme",
        "allowance-per-s":40.5,"fraction":0.4},{"name":"other","allowance-per-s":60,"fraction":0.6}],
        "weights":"rough","zone":"edge-1"}""";
    /** Keys of required settings; all others have a default. */
    private static final Set<String> REQUIRED_KEYS = Set.of(
            "balancers",
            "caps",
            "try-limit",
            "discovery",
            "kinds",
            "localities",
            "rules",
            "stop-sending-within-us",
            "warm-after-us",
            "fall-us",
            "self-index",
            "services",
            "aim-us",
            "deadline-us",
            "name",
            "repeat",
            "zone");

    /** Keys that the parser does not read: {@link Configuration} reads them, or nothing does. */
    private static final Set<String> NOT_READ = Set.of("fraction", "how", "conn-idle-us", "max-streams");

    private static final List<String> VALUES_OF_ALL_TYPES = List.of("\"what\"", "[[1]]", "{\"a\":1}", "true", "-7.5");

    private static RouterSettings parse(JsonNode tree) throws IOException {
        try (JsonParser parser = JSON.createParser(tree.toString())) {
            parser.nextToken();
            return SettingsParser.settings(JsonValue.read(parser).asObject("settings"));
        }
    }

    private static ObjectNode tree() throws IOException {
        return (ObjectNode) JSON.readTree(SETTINGS);
    }

    /** Returns the JSON pointers of all object fields in a tree. */
    private static List<String> pointers(JsonNode tree) {
        List<String> pointers = new ArrayList<>();
        addPointers(tree, "", pointers);
        return pointers;
    }

    private static void addPointers(JsonNode node, String path, List<String> pointers) {
        if (node instanceof ObjectNode object) {
            for (Map.Entry<String, JsonNode> field : object.properties()) {
                String fieldPath = path + "/" + field.getKey();
                pointers.add(fieldPath);
                addPointers(field.getValue(), fieldPath, pointers);
            }
        } else if (node instanceof ArrayNode array) {
            for (int i = 0; i < array.size(); i++) {
                addPointers(array.get(i), path + "/" + i, pointers);
            }
        }
    }

    private static ObjectNode parent(JsonNode tree, String path) {
        return (ObjectNode) tree.at(path.substring(0, path.lastIndexOf('/')));
    }

    private static String key(String path) {
        return path.substring(path.lastIndexOf('/') + 1);
    }

    @Test
    void tenantsAreReadWithTheirQuotas() throws IOException {
        RouterSettings settings = parse(tree());
        assertThat(settings.tenants())
                .extracting(tenant -> tenant.name() + " " + tenant.quotaPerSecond())
                .containsExactly("acme 40.5", "other 60.0");
        assertThat(settings.overQuotaWeightFactor()).isEqualTo(0.1);
    }

    /** An absent or null setting is named in the error if it is required, and otherwise gets its default. */
    @Test
    void absentSettingsAreRejectedOrGetTheirDefault() throws IOException {
        Set<String> rejected = new TreeSet<>();
        for (String path : pointers(tree())) {
            ObjectNode without = tree();
            parent(without, path).remove(key(path));
            ObjectNode withNull = tree();
            parent(withNull, path).putNull(key(path));
            for (JsonNode changed : List.of(without, withNull)) {
                try {
                    parse(changed);
                } catch (FormatException | IllegalArgumentException e) {
                    assertThat(e.getMessage()).as(path).contains(key(path)).doesNotContain("\n");
                    rejected.add(key(path));
                }
            }
        }
        assertThat(rejected).isEqualTo(new TreeSet<>(REQUIRED_KEYS));
    }

    /** A value of the wrong type is neither converted silently nor the cause of an internal error. */
    @Test
    void settingsOfTheWrongTypeAreRejected() throws IOException {
        for (String path : pointers(tree())) {
            if (NOT_READ.contains(key(path))) {
                continue;
            }
            for (String text : VALUES_OF_ALL_TYPES) {
                JsonNode value = JSON.readTree(text);
                if (tree().at(path).getNodeType() != value.getNodeType()) {
                    assertRejected(path, value, key(path));
                }
            }
        }
    }

    private static void assertRejected(String path, JsonNode value, String message) throws IOException {
        ObjectNode tree = tree();
        parent(tree, path).set(key(path), value);
        assertThatThrownBy(() -> parse(tree))
                .as(path + " " + value)
                .isInstanceOfAny(FormatException.class, IllegalArgumentException.class)
                .hasMessageContaining(message);
    }

    @Test
    void contradictionsAreRejectedWithAReason() throws IOException {
        String[][] pathValueAndMessage = {
            {"/zone", "\"south\"", "must be one of"},
            {"/balancers", "0", "above 0"},
            {"/caps/try-limit", "0", "above 0"},
            {"/services/0/deadline-us", "300000", "at least aim-us"},
            {"/services/1/name", "\"video\"", "services (names must be unique)"},
            {"/services/0/aim-us", "0", "above 0"},
            {"/services", "[]", "must not be empty"},
            {"/tenants/1/name", "\"acme\"", "tenants (names must be unique)"},
            {"/tenants/0/allowance-per-s", "-1", "0 or more"},
            {"/over-share-worth", "1.5", "0 to 1"},
            {"/rules/cold-from", "1.5", "0 to 1"},
            {"/family-info/hub-of", "[0,7]", "an index in localities"},
            {"/family-info/crew-by-zone", "[0,-1]", "0 or more"},
            {"/caps/connect-timeout-us", "-1", "0 or more"},
            {"/family-info/flow-kb-per-s", "-1", "0 or more"}
        };
        for (String[] contradiction : pathValueAndMessage) {
            assertRejected(contradiction[0], JSON.readTree(contradiction[1]), contradiction[2]);
        }
    }

    /**
     * A word of a newer platform that the parser does not know must not allow more than the platform does: it means no
     * retry, no sibling fill, no cache status and no weight.
     */
    @Test
    void unknownWordsMapToTheMostRestrictiveValue() throws IOException {
        ObjectNode tree = tree();
        for (String path : List.of(
                "/services/0/repeat",
                "/services/0/group",
                "/family-info/note-level",
                "/family-info/neighbours",
                "/weights")) {
            parent(tree, path).put(key(path), "new-word");
        }
        RouterSettings settings = parse(tree);
        assertThat(settings.classes().get(0).idempotency()).isEqualTo(Idempotency.NON_IDEMPOTENT);
        assertThat(settings.classes().get(0).idempotencyScope()).isEqualTo(IdempotencyScope.CELL);
        assertThat(settings.cacheStatusDetail()).isEqualTo(CacheStatusDetail.NONE);
        assertThat(settings.weightMeaning()).isEqualTo(WeightMeaning.NONE);
        assertThat(settings.permissions().siblingFills()).isEqualTo(SiblingFillPolicy.NONE);
    }
}
