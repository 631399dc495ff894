package petrelplank.settings;

import java.util.ArrayList;
import java.util.List;
import petrelplank.routing.PlatformRules;
import petrelplank.routing.RouterSettings;
import petrelplank.routing.RoutingPermissions;
import petrelplank.routing.Tenant;
import petrelplank.settings.SettingsKeys.CacheSetting;
import petrelplank.settings.SettingsKeys.Capability;
import petrelplank.settings.SettingsKeys.Rule;
import petrelplank.settings.SettingsKeys.Settings;

/**
 * Parses the settings in the configuration file and in the simulator's first message. A setting that is absent, or an
 * unknown word, gets the most restrictive value or its documented default. Throws {@link FormatException} if a required
 * setting is missing or a value has the wrong type.
 */
public final class SettingsParser {
    private static final double BYTES_PER_KB = 1024;

    private final JsonFields settings;
    private final JsonFields capabilities;
    private final JsonFields rules;
    private final JsonFields cacheSettings;
    private final double sizeScale;

    private SettingsParser(JsonFields settings, double maxResponseBytesPerSecond) {
        this.settings = settings;
        sizeScale = sizeScale(settings, maxResponseBytesPerSecond);
        capabilities = settings.object(Settings.CAPABILITIES);
        rules = settings.object(Settings.RULES);
        cacheSettings = cacheSettings(settings);
    }

    /** Parses the settings of a proxy in the simulator, where object sizes are in the units of the settings. */
    public static RouterSettings settings(JsonFields settings) {
        return settings(settings, 0);
    }

    /**
     * Parses the settings of a proxy on sockets, where object sizes may be scaled against the units of the settings.
     *
     * @param settings the settings
     * @param maxResponseBytesPerSecond highest rate of one response on a socket; 0 to use the rate in the settings
     * @return the settings, with all rates in bytes on the sockets
     */
    static RouterSettings settings(JsonFields settings, double maxResponseBytesPerSecond) {
        return new SettingsParser(settings, maxResponseBytesPerSecond).parse();
    }

    /**
     * Returns the number of bytes on a socket for each byte in the units of the settings; 1 if the highest rate of a
     * response is missing from the settings or is 0 for the sockets.
     */
    static double sizeScale(JsonFields settings, double maxResponseBytesPerSecond) {
        if (!(maxResponseBytesPerSecond >= 0)) {
            throw new FormatException(
                    "configuration",
                    '"' + SettingsKeys.Config.MAX_RESPONSE_BYTES_PER_SECOND + "\" should be 0 or more, found "
                            + maxResponseBytesPerSecond);
        }
        double maxResponseKbPerSecond = cacheSettings(settings).number(CacheSetting.MAX_RESPONSE_KB_PER_SECOND, 0);
        return maxResponseKbPerSecond > 0 && maxResponseBytesPerSecond > 0
                ? maxResponseBytesPerSecond / BYTES_PER_KB / maxResponseKbPerSecond
                : 1;
    }

    private static JsonFields cacheSettings(JsonFields settings) {
        return settings.has(Settings.CACHE_SETTINGS)
                ? settings.object(Settings.CACHE_SETTINGS)
                : JsonFields.empty(Settings.CACHE_SETTINGS);
    }

    /** Returns an array of numbers, or an empty array if the field is absent. */
    static double[] numbersOrEmpty(JsonFields fields, String key) {
        return fields.has(key) ? fields.numbers(key) : new double[0];
    }

    private RouterSettings parse() {
        double maxResponseKbPerSecond = cacheSettings.number(CacheSetting.MAX_RESPONSE_KB_PER_SECOND, 0);
        List<String> endpointKinds = settings.texts(Settings.ENDPOINT_KINDS);
        List<String> reportFields = reportFields();
        return new RouterSettings(
                (int) settings.integer(Settings.PROXY_INDEX),
                (int) settings.integer(Settings.PROXY_COUNT),
                settings.text(Settings.ZONE),
                settings.texts(Settings.ZONES),
                integers(CacheSetting.PROXY_COUNT_BY_ZONE),
                integers(CacheSetting.HUB_BY_ZONE),
                scaledRates(CacheSetting.LINK_KB_PER_SECOND_BY_ZONE),
                endpointKind(endpointKinds, CacheSetting.PARENT_KIND),
                endpointKind(endpointKinds, CacheSetting.ORIGIN_KIND),
                maxResponseKbPerSecond * sizeScale,
                SettingsEnums.weightMeaning(settings.text(Settings.WEIGHT_MEANING, SettingsEnums.ABSENT)),
                SettingsEnums.cacheStatusDetail(
                        cacheSettings.text(CacheSetting.CACHE_STATUS_DETAIL, SettingsEnums.ABSENT)),
                reportFields,
                SettingsEnums.requiresEndpointSubscription(settings.text(Settings.DISCOVERY_MODE)),
                capabilities.integer(Capability.CONNECT_TIMEOUT_US, 0),
                new ServiceClassParser(settings, cacheSettings).parse(),
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
    private String endpointKind(List<String> endpointKinds, String key) {
        long index = cacheSettings.integer(key, -1);
        return index >= 0 && index < endpointKinds.size() ? endpointKinds.get((int) index) : null;
    }

    private List<Integer> integers(String key) {
        List<Integer> integers = new ArrayList<>();
        for (double number : numbersOrEmpty(cacheSettings, key)) {
            integers.add((int) number);
        }
        return integers;
    }

    /** Returns an array of rates, converted to bytes on the sockets. */
    private List<Double> scaledRates(String key) {
        List<Double> rates = new ArrayList<>();
        for (double rate : numbersOrEmpty(cacheSettings, key)) {
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
        String siblingFills = cacheSettings.text(CacheSetting.SIBLING_FILLS, SettingsEnums.ABSENT);
        return new RoutingPermissions(
                (int) capabilities.integer(Capability.MAX_ATTEMPTS),
                capabilities.flag(Capability.HEDGING),
                capabilities.flag(Capability.CANCEL),
                capabilities.flag(Capability.HEALTH_CHECKS),
                capabilities.flag(Capability.GOSSIP),
                capabilities.flag(Capability.RETRY_AFTER),
                capabilities.integer(Capability.MAX_RETRY_AFTER_US, 0),
                cacheSettings.flag(CacheSetting.COALESCING),
                cacheSettings.flag(CacheSetting.DIRECT_TO_PARENTS),
                SettingsEnums.siblingFillPolicy(siblingFills));
    }

    private PlatformRules platformRules() {
        return new PlatformRules(
                rules.integer(Rule.DRAIN_GRACE_US),
                rules.number(Rule.SLOW_START_INITIAL_FRACTION, 0),
                rules.integer(Rule.SLOW_START_DURATION_US),
                rules.number(Rule.OVERLOAD_MULTIPLE, 0),
                rules.integer(Rule.OVERLOAD_DURATION_US),
                cacheSettings.number(CacheSetting.PARENT_SLOW_START_INITIAL_FRACTION, 0),
                cacheSettings.integer(CacheSetting.PARENT_SLOW_START_DURATION_US, 0),
                cacheSettings.number(CacheSetting.PARENT_OVERLOAD_MULTIPLE, 0),
                cacheSettings.number(CacheSetting.ORIGIN_OVERLOAD_MULTIPLE, 0),
                cacheSettings.integer(CacheSetting.ORIGIN_OVERLOAD_DURATION_US, 0),
                cacheSettings.integer(CacheSetting.PURGE_GRACE_US, 0),
                cacheSettings.integer(CacheSetting.PURGE_DONE_US, 0),
                rules.integer(Rule.POLL_INTERVAL_US, 0));
    }
}
