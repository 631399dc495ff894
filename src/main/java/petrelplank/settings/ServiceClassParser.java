package petrelplank.settings;

import java.util.ArrayList;
import java.util.List;
import petrelplank.routing.Idempotency;
import petrelplank.routing.IdempotencyScope;
import petrelplank.routing.ServiceClass;
import petrelplank.settings.SettingsKeys.CacheSetting;
import petrelplank.settings.SettingsKeys.Service;
import petrelplank.settings.SettingsKeys.Settings;

/**
 * Parses the service classes. Each has an object of its own; further properties are in arrays of the cache settings, at
 * the index of the class.
 */
final class ServiceClassParser {
    private static final double DEFAULT_PRIORITY_WEIGHT = 1;

    private final JsonFields settings;
    private final double[] freshnessUs;
    private final double[] staleIfErrorUs;
    private final double[] staleWeightFactors;
    private final boolean[] isWrite;

    ServiceClassParser(JsonFields settings, JsonFields cacheSettings) {
        this.settings = settings;
        freshnessUs = SettingsParser.numbersOrEmpty(cacheSettings, CacheSetting.FRESHNESS_US);
        staleIfErrorUs = SettingsParser.numbersOrEmpty(cacheSettings, CacheSetting.STALE_IF_ERROR_US);
        staleWeightFactors = SettingsParser.numbersOrEmpty(cacheSettings, CacheSetting.STALE_WEIGHT_FACTOR);
        isWrite =
                cacheSettings.has(CacheSetting.IS_WRITE) ? cacheSettings.flags(CacheSetting.IS_WRITE) : new boolean[0];
    }

    List<ServiceClass> parse() {
        List<JsonFields> services =
                settings.indexedObjects(Settings.SERVICE_CLASSES, settings.path() + " " + Settings.SERVICE_CLASSES);
        List<ServiceClass> classes = new ArrayList<>();
        for (JsonFields service : services) {
            classes.add(parse(service, classes.size()));
        }
        return classes;
    }

    private ServiceClass parse(JsonFields service, int index) {
        Idempotency idempotency = SettingsEnums.idempotency(service.text(Service.IDEMPOTENCY));
        IdempotencyScope scope =
                SettingsEnums.idempotencyScope(service.text(Service.IDEMPOTENCY_SCOPE, SettingsEnums.ABSENT));
        return new ServiceClass(
                service.text(Service.NAME),
                service.integer(Service.LATENCY_OBJECTIVE_US),
                service.number(Service.OBJECTIVE_SIZE_FACTOR, 0),
                service.integer(Service.DEADLINE_US),
                service.number(Service.PRIORITY_WEIGHT, DEFAULT_PRIORITY_WEIGHT),
                service.number(Service.LATE_WEIGHT_FACTOR, 0),
                idempotency,
                scope,
                service.integer(Service.IDEMPOTENCY_WINDOW_US, 0),
                service.flag(Service.STREAMED),
                (long) elementOrZero(freshnessUs, index),
                (long) elementOrZero(staleIfErrorUs, index),
                elementOrZero(staleWeightFactors, index),
                index < isWrite.length && isWrite[index]);
    }

    private static double elementOrZero(double[] array, int index) {
        return index < array.length ? array[index] : 0;
    }
}
