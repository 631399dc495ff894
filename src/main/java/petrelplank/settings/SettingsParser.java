package petrelplank.settings;

import java.util.ArrayList;
import java.util.List;
import petrelplank.routing.PlatformRules;
import petrelplank.routing.RouterSettings;
import petrelplank.routing.RoutingPermissions;
import petrelplank.routing.Tenant;
import petrelplank.settings.SettingsKeys.Capability;
import petrelplank.settings.SettingsKeys.Family;
import petrelplank.settings.SettingsKeys.Rule;
import petrelplank.settings.SettingsKeys.Settings;

/**
 * Reads the settings that the configuration file and the simulator's first message carry. A setting that is absent has
 * the most careful value or the one that its documentation names, and so has a word that is not known; a value of
 * another type ends in a {@link FormatException}.
 */
public final class SettingsParser {
    private static final double BYTES_PER_KB = 1024;

    private final JsonFields settings;
    private final JsonFields capabilities;
    private final JsonFields rules;
    private final JsonFields family;
    private final double sizeScale;

    private SettingsParser(JsonFields settings, double flowBytesPerSecond) {
        this.settings = settings;
        sizeScale = sizeScale(settings, flowBytesPerSecond);
        capabilities = settings.object(Settings.CAPABILITIES);
        rules = settings.object(Settings.RULES);
        family = family(settings);
    }

    /** Reads the settings of an instance in the simulator, which counts bytes of objects as the settings do. */
    public static RouterSettings settings(JsonFields settings) {
        return settings(settings, 0);
    }

    /**
     * Reads the settings of a proxy on sockets, whose objects may have other sizes than the settings count in.
     *
     * @param settings the settings
     * @param flowBytesPerSecond the top rate of one response on the sockets; 0 for the one of the settings
     * @return the settings, with all rates in the bytes of the sockets
     */
    static RouterSettings settings(JsonFields settings, double flowBytesPerSecond) {
        return new SettingsParser(settings, flowBytesPerSecond).parse();
    }

    /** Bytes on the sockets over those that the settings count in; 1 where either rate is not given. */
    static double sizeScale(JsonFields settings, double flowBytesPerSecond) {
        if (!(flowBytesPerSecond >= 0)) {
            throw new FormatException(
                    "configuration",
                    '"' + SettingsKeys.Config.FLOW_BYTES_PER_SECOND + "\" should be 0 or more, found "
                            + flowBytesPerSecond);
        }
        double maxResponseKbPerSecond = family(settings).number(Family.MAX_RESPONSE_KB_PER_SECOND, 0);
        return maxResponseKbPerSecond > 0 && flowBytesPerSecond > 0
                ? flowBytesPerSecond / BYTES_PER_KB / maxResponseKbPerSecond
                : 1;
    }

    private static JsonFields family(JsonFields settings) {
        return settings.has(Settings.FAMILY) ? settings.object(Settings.FAMILY) : JsonFields.empty(Settings.FAMILY);
    }

    /** An array of numbers; empty where it is absent. */
    static double[] numbers(JsonFields fields, String name) {
        return fields.has(name) ? fields.numbers(name) : new double[0];
    }

    private RouterSettings parse() {
        double maxResponseKbPerSecond = family.number(Family.MAX_RESPONSE_KB_PER_SECOND, 0);
        List<String> kinds = settings.texts(Settings.KINDS);
        List<String> reportFields = reportFields();
        return new RouterSettings(
                (int) settings.integer(Settings.PROXY_INDEX),
                (int) settings.integer(Settings.PROXY_COUNT),
                settings.text(Settings.ZONE),
                settings.texts(Settings.ZONES),
                integers(Family.PROXY_COUNT_BY_ZONE),
                integers(Family.HUB_BY_ZONE),
                rates(Family.LINK_KB_PER_SECOND_BY_ZONE),
                kind(kinds, Family.PARENT_KIND),
                kind(kinds, Family.ORIGIN_KIND),
                maxResponseKbPerSecond * sizeScale,
                SettingsEnums.weightMeaning(settings.text(Settings.WEIGHT_MEANING, SettingsEnums.ABSENT)),
                SettingsEnums.cacheStatusDetail(family.text(Family.CACHE_STATUS_DETAIL, SettingsEnums.ABSENT)),
                reportFields,
                SettingsEnums.watchEndpoints(settings.text(Settings.DISCOVERY_MODE)),
                capabilities.integer(Capability.CONNECT_TIMEOUT_US, 0),
                new ServiceClassParser(settings, family).parse(),
                permissions(),
                platformRules(),
                tenants(),
                settings.number(Settings.OVER_QUOTA_WEIGHT_FACTOR, 0));
    }

    private List<String> reportFields() {
        if (!settings.has(Settings.REPORT)) {
            return List.of();
        }
        JsonFields report = settings.object(Settings.REPORT);
        return report.has(Settings.REPORT_FIELDS) ? report.texts(Settings.REPORT_FIELDS) : List.of();
    }

    /** The kind of endpoint at the index that a setting gives; null where it gives none. */
    private String kind(List<String> kinds, String name) {
        long index = family.integer(name, -1);
        return index >= 0 && index < kinds.size() ? kinds.get((int) index) : null;
    }

    private List<Integer> integers(String name) {
        List<Integer> integers = new ArrayList<>();
        for (double number : numbers(family, name)) {
            integers.add((int) number);
        }
        return integers;
    }

    /** Rates in the bytes of the sockets. */
    private List<Double> rates(String name) {
        List<Double> rates = new ArrayList<>();
        for (double rate : numbers(family, name)) {
            rates.add(rate * sizeScale);
        }
        return rates;
    }

    private List<Tenant> tenants() {
        List<Tenant> tenants = new ArrayList<>();
        if (settings.has(Settings.TENANTS)) {
            String path = settings.path() + " " + Settings.TENANTS;
            for (JsonFields tenant : settings.indexedObjects(Settings.TENANTS, path)) {
                tenants.add(new Tenant(
                        tenant.text(SettingsKeys.Tenant.NAME),
                        tenant.number(SettingsKeys.Tenant.QUOTA_PER_SECOND, Double.MAX_VALUE)));
            }
        }
        return tenants;
    }

    private RoutingPermissions permissions() {
        String siblingFills = family.text(Family.SIBLING_FILLS, SettingsEnums.ABSENT);
        return new RoutingPermissions(
                (int) capabilities.integer(Capability.MAX_ATTEMPTS),
                capabilities.flag(Capability.HEDGING),
                capabilities.flag(Capability.CANCEL),
                capabilities.flag(Capability.HEALTH_CHECKS),
                capabilities.flag(Capability.GOSSIP),
                capabilities.flag(Capability.RETRY_AFTER),
                capabilities.integer(Capability.MAX_RETRY_AFTER_US, 0),
                family.flag(Family.COALESCING),
                family.flag(Family.DIRECT_TO_PARENTS),
                SettingsEnums.siblingFillPolicy(siblingFills));
    }

    private PlatformRules platformRules() {
        return new PlatformRules(
                rules.integer(Rule.DRAIN_GRACE_US),
                rules.number(Rule.SLOW_START_INITIAL_FRACTION, 0),
                rules.integer(Rule.SLOW_START_DURATION_US),
                rules.number(Rule.OVERLOAD_MULTIPLE, 0),
                rules.integer(Rule.OVERLOAD_DURATION_US),
                family.number(Family.PARENT_SLOW_START_INITIAL_FRACTION, 0),
                family.integer(Family.PARENT_SLOW_START_DURATION_US, 0),
                family.number(Family.PARENT_OVERLOAD_MULTIPLE, 0),
                family.number(Family.ORIGIN_OVERLOAD_MULTIPLE, 0),
                family.integer(Family.ORIGIN_OVERLOAD_DURATION_US, 0),
                family.integer(Family.PURGE_GRACE_US, 0),
                family.integer(Family.PURGE_DONE_US, 0),
                rules.integer(Rule.POLL_INTERVAL_US, 0));
    }
}
