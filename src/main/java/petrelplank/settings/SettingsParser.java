package petrelplank.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import petrelplank.routing.CacheStatusDetail;
import petrelplank.routing.Idempotency;
import petrelplank.routing.IdempotencyScope;
import petrelplank.routing.PlatformRules;
import petrelplank.routing.RouterSettings;
import petrelplank.routing.RoutingPermissions;
import petrelplank.routing.ServiceClass;
import petrelplank.routing.SiblingFillPolicy;
import petrelplank.routing.Tenant;
import petrelplank.routing.WeightMeaning;

/**
 * Reads the settings that the wire's first message carries. What is absent has the most careful value or the one that
 * the settings' page names, and so has a word that is none of the page's; a value of another type is an error.
 */
public final class SettingsParser {
    private SettingsParser() {}

    /** Reads the settings of an instance in the simulator, which counts objects as the settings do. */
    public static RouterSettings settings(JsonFields setup) {
        return settings(setup, 0);
    }

    /**
     * Reads the settings of a front on sockets, whose objects may have other sizes than the settings count in.
     *
     * @param setup the settings
     * @param flowBytesPerS bytes a second at which one answer runs at most; 0 for what the settings say
     * @return the settings, with all rates in the bytes of the sockets
     */
    static RouterSettings settings(JsonFields setup, double flowBytesPerS) {
        double scale = sizeScale(setup, flowBytesPerS);
        JsonFields caps = child(setup, "caps");
        JsonFields rules = child(setup, "rules");
        JsonFields info = info(setup);
        double flow = info.number("flow-kb-per-s", 0);
        List<String> kinds = setup.texts("kinds");
        List<String> reported = setup.has("report") && child(setup, "report").has("fields")
                ? child(setup, "report").texts("fields")
                : List.of();
        return new RouterSettings(
                (int) setup.whole("self-index"),
                (int) setup.whole("balancers"),
                setup.text("zone"),
                setup.texts("localities"),
                ints(info, "crew-by-zone"),
                ints(info, "hub-of"),
                doubles(info, "zone-link-kb-per-s", scale),
                kind(kinds, info.whole("upper-kind", -1)),
                kind(kinds, info.whole("origin-kind", -1)),
                flow * scale,
                weightMeaning(setup),
                cacheStatusDetail(info),
                reported,
                setup.text("discovery").equals("subscribe"),
                caps.whole("connect-timeout-us", 0),
                classes(setup, info),
                permissions(caps, info),
                rules(rules, info),
                tenants(setup),
                setup.number("over-share-worth", 0));
    }

    /** Bytes on the sockets over those that the settings count in; 1 where either pace is not told. */
    static double sizeScale(JsonFields setup, double flowBytesPerS) {
        if (!(flowBytesPerS >= 0)) {
            throw new FormatException(
                    "configuration: \"flow_bytes_per_s\" should be 0 or more, found " + flowBytesPerS);
        }
        double flow = info(setup).number("flow-kb-per-s", 0);
        return flow > 0 && flowBytesPerS > 0 ? flowBytesPerS / 1024 / flow : 1;
    }

    private static JsonFields info(JsonFields setup) {
        return setup.has("family-info") ? child(setup, "family-info") : new JsonFields(Map.of(), "family-info");
    }

    private static JsonFields child(JsonFields parent, String name) {
        return new JsonFields(parent.object(name), parent.where() + " " + name);
    }

    private static String kind(List<String> kinds, long place) {
        return place >= 0 && place < kinds.size() ? kinds.get((int) place) : null;
    }

    private static List<Integer> ints(JsonFields f, String name) {
        List<Integer> list = new ArrayList<>();
        for (double value : list(f, name)) {
            list.add((int) value);
        }
        return list;
    }

    private static List<Double> doubles(JsonFields f, String name, double scale) {
        List<Double> list = new ArrayList<>();
        for (double value : list(f, name)) {
            list.add(value * scale);
        }
        return list;
    }

    private static double[] list(JsonFields f, String name) {
        return f.has(name) ? f.numbers(name) : new double[0];
    }

    private static WeightMeaning weightMeaning(JsonFields setup) {
        return switch (setup.has("weights") ? setup.text("weights") : "none") {
            case "nominal" -> WeightMeaning.NOMINAL;
            case "rough" -> WeightMeaning.ROUGH;
            case "live" -> WeightMeaning.LIVE;
            default -> WeightMeaning.NONE;
        };
    }

    private static CacheStatusDetail cacheStatusDetail(JsonFields info) {
        return switch (info.has("note-level") ? info.text("note-level") : "none") {
            case "all" -> CacheStatusDetail.ALL;
            case "hit" -> CacheStatusDetail.HITS;
            default -> CacheStatusDetail.NONE;
        };
    }

    private static List<ServiceClass> classes(JsonFields setup, JsonFields info) {
        double[] fresh = list(info, "max-age-us");
        double[] grace = list(info, "class-grace-us");
        double[] old = list(info, "old-copy-worth");
        List<?> writes = info.has("class-write") ? info.array("class-write") : List.of();
        List<ServiceClass> classes = new ArrayList<>();
        List<Map<String, Object>> services = setup.objects("services");
        for (int i = 0; i < services.size(); i++) {
            JsonFields s = new JsonFields(services.get(i), setup.where() + " services " + i);
            Idempotency repeat = switch (s.text("repeat")) {
                case "free" -> Idempotency.IDEMPOTENT;
                case "guarded" -> Idempotency.IDEMPOTENT_WITH_KEY;
                default -> Idempotency.NON_IDEMPOTENT;
            };
            IdempotencyScope scope = switch (s.has("group") ? s.text("group") : "cell") {
                case "all" -> IdempotencyScope.ALL;
                case "zone" -> IdempotencyScope.ZONE;
                default -> IdempotencyScope.CELL;
            };
            classes.add(new ServiceClass(
                    s.text("name"),
                    s.whole("aim-us"),
                    s.number("aim-stretch", 0),
                    s.whole("deadline-us"),
                    s.number("worth", 1),
                    s.number("late-worth", 0),
                    repeat,
                    scope,
                    s.whole("key-ttl-us", 0),
                    s.flag("stream"),
                    (long) get(fresh, i),
                    (long) get(grace, i),
                    get(old, i),
                    i < writes.size() && Boolean.TRUE.equals(writes.get(i))));
        }
        return classes;
    }

    private static List<Tenant> tenants(JsonFields setup) {
        List<Tenant> tenants = new ArrayList<>();
        for (Map<String, Object> tenant :
                setup.has("tenants") ? setup.objects("tenants") : List.<Map<String, Object>>of()) {
            JsonFields t = new JsonFields(tenant, setup.where() + " tenants " + tenants.size());
            tenants.add(new Tenant(t.text("name"), t.number("allowance-per-s", Double.MAX_VALUE)));
        }
        return tenants;
    }

    private static double get(double[] list, int i) {
        return i < list.length ? list[i] : 0;
    }

    private static RoutingPermissions permissions(JsonFields caps, JsonFields info) {
        SiblingFillPolicy siblingFills = switch (info.has("neighbours") ? info.text("neighbours") : "none") {
            case "any" -> SiblingFillPolicy.ANY;
            case "location" -> SiblingFillPolicy.OWN_ZONE;
            default -> SiblingFillPolicy.NONE;
        };
        return new RoutingPermissions(
                (int) caps.whole("try-limit"),
                caps.flag("second-copies"),
                caps.flag("cancel"),
                caps.flag("probing"),
                caps.flag("peer-messages"),
                caps.flag("retry-after"),
                caps.whole("max-retry-after-us", 0),
                info.flag("merges-fills"),
                info.flag("pass-through-ok"),
                siblingFills);
    }

    private static PlatformRules rules(JsonFields rules, JsonFields info) {
        return new PlatformRules(
                rules.whole("stop-sending-within-us"),
                rules.number("cold-from", 0),
                rules.whole("warm-after-us"),
                rules.number("fall-multiple", 0),
                rules.whole("fall-us"),
                info.number("parent-cold-from", 0),
                info.whole("parent-cold-us", 0),
                info.number("parent-breaks-at", 0),
                info.number("root-fall-multiple", 0),
                info.whole("origin-over-for-us", 0),
                info.whole("notice-time-us", 0),
                info.whole("purge-done-us", 0),
                rules.whole("ask-every-us", 0));
    }
}
