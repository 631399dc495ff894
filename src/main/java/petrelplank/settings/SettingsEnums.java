package petrelplank.settings;

import petrelplank.routing.CacheStatusDetail;
import petrelplank.routing.Idempotency;
import petrelplank.routing.IdempotencyScope;
import petrelplank.routing.SiblingFillPolicy;
import petrelplank.routing.WeightMeaning;

/**
 * Maps words of the settings to enum constants. An unknown word maps to the most restrictive constant, so that a newer
 * platform never makes an older proxy do more than is allowed.
 */
final class SettingsEnums {
    /** Default for a setting that is absent; maps to the most restrictive constant of each enum. */
    static final String ABSENT = "none";

    private SettingsEnums() {}

    static WeightMeaning weightMeaning(String word) {
        return switch (word) {
            case "nominal" -> WeightMeaning.NOMINAL;
            case "rough" -> WeightMeaning.ROUGH;
            case "live" -> WeightMeaning.LIVE;
            default -> WeightMeaning.NONE;
        };
    }

    static CacheStatusDetail cacheStatusDetail(String word) {
        return switch (word) {
            case "all" -> CacheStatusDetail.ALL;
            case "hit" -> CacheStatusDetail.HITS;
            default -> CacheStatusDetail.NONE;
        };
    }

    static SiblingFillPolicy siblingFillPolicy(String word) {
        return switch (word) {
            case "any" -> SiblingFillPolicy.ANY;
            case "location" -> SiblingFillPolicy.OWN_ZONE;
            default -> SiblingFillPolicy.NONE;
        };
    }

    static Idempotency idempotency(String word) {
        return switch (word) {
            case "free" -> Idempotency.IDEMPOTENT;
            case "guarded" -> Idempotency.IDEMPOTENT_WITH_KEY;
            default -> Idempotency.NON_IDEMPOTENT;
        };
    }

    static IdempotencyScope idempotencyScope(String word) {
        return switch (word) {
            case "all" -> IdempotencyScope.ALL;
            case "zone" -> IdempotencyScope.ZONE;
            default -> IdempotencyScope.CELL;
        };
    }

    /** Returns whether a proxy receives the endpoint list only after it subscribes to it. */
    static boolean requiresEndpointSubscription(String discoveryMode) {
        return discoveryMode.equals("subscribe");
    }
}
