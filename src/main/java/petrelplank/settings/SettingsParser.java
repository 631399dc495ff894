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
 * Parses the settings in the configuration file and in the simulator's first message. A setting that is absent, or is an
 * unknown word, gets the most restrictive value or its documented default. Throws {@link FormatException} if a required
 * setting is missing or a value has the wrong type.
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

    /** Parses the settings of a proxy in the simulator, where object sizes are in the units of the settings. */
    public static RouterSettings settings(JsonFields settings) {
        return settings(settings, 0);
    }

    /**
     * Parses the settings of a proxy on sockets, where object sizes may be scaled against the units of the settings.
     *
     * @param settings the settings
     * @param flowBytesPerSecond highest rate of one response on a socket; 0 to use the rate in the settings
     * @return the settings, with all rates in bytes on the sockets
     */
    static RouterSettings settings(JsonFields settings, double flowBytesPerSecond) {
        return new SettingsParser(settings, flowBytesPerSecond).parse();
    }

    /**
     * Returns the number of bytes on a socket for each byte in the units of the settings; 1 if the highest rate of a
     * response is missing from the settings or is 0 for the sockets.
     */
    static double sizeScale(JsonFields settings, double flowBytesPerSecond) {
        if (!(flowBytesPerSecond >= 0)) {
            throw new FormatException(
                    "configuration",
                    '"' + SettingsKeys.Config.FLOW_BYTES_PER_SECOND + "\" should be 0 or more, found "
                            + flowBytesPerSecond);
        }
        double flowKbPerSecond = family(settings).number(Family.FLOW_KB_PER_SECOND, 0);
        return flowKbPerSecond > 0 && flowBytesPerSecond > 0 ? flowBytesPerSecond / BYTES_PER_KB / flowKbPerSecond : 1;
    }

    private static JsonFields family(JsonFields settings) {
        return settings.has(Settings.FAMILY) ? settings.object(Settings.FAMILY) : JsonFields.empty(Settings.FAMILY);
    }

    /** Returns an array of numbers, or an empty array if the field is absent. */
    static double[] numbers(JsonFields fields, String name) {
        return fields.has(name) ? fields.numbers(name) : new double[0];
    }

    private RouterSettings parse() {
        double flowKbPerSecond = family.number(Family.FLOW_KB_PER_SECOND, 0);
        List<String> kinds = settings.texts(Settings.KINDS);
        List<String> reportFields = reportFields();
        return new RouterSettings(
                (int) settings.integer(Settings.SELF),
                (int) settings.integer(Settings.GATEWAYS),
                settings.text(Settings.ZONE),
                settings.texts(Settings.ZONES),
                integers(Family.ZONE_GATEWAYS),
                integers(Family.ZONE_HUB),
                rates(Family.ZONE_LINK_KB_PER_SECOND),
                kind(kinds, Family.PARENT_KIND),
                kind(kinds, Family.ORIGIN_KIND),
                flowKbPerSecond * sizeScale,
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

    /** Returns the endpoint kind at the index that a setting gives; null if it is absent or out of range. */
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

    /** Returns an array of rates, converted to bytes on the sockets. */
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
                rules.number(Rule.SLOW_START_FROM, 0),
                rules.integer(Rule.SLOW_START_US),
                rules.number(Rule.OVERLOAD_MULTIPLE, 0),
                rules.integer(Rule.OVERLOAD_US),
                family.number(Family.PARENT_SLOW_START_FROM, 0),
                family.integer(Family.PARENT_SLOW_START_US, 0),
                family.number(Family.PARENT_OVERLOAD_MULTIPLE, 0),
                family.number(Family.ORIGIN_OVERLOAD_MULTIPLE, 0),
                family.integer(Family.ORIGIN_OVERLOAD_US, 0),
                family.integer(Family.PURGE_GRACE_US, 0),
                family.integer(Family.PURGE_DONE_US, 0),
                rules.integer(Rule.POLL_INTERVAL_US, 0));
    }
}
