package petrelplank.settings;

/**
 * Keys of the configuration file and of the settings in it. The platform defines the keys; other code
 * refers to them by these constants only.
 */
final class SettingsKeys {
    private SettingsKeys() {}

    /** Top-level keys of the configuration file and keys of its smaller objects, see {@link Configuration}. */
    static final class Config {
        static final String NAME = "name";
        static final String LISTEN_ADDRESS = "listen";
        static final String SEED = "seed";
        static final String DISCOVERY_ADDRESS = "coordinator";
        static final String MAX_RESPONSE_BYTES_PER_SECOND = "flow_bytes_per_s";
        static final String LIMITS = "limits";
        static final String MAX_FILE_DESCRIPTORS = "sockets";
        static final String MEMORY_MB = "memory_mb";
        static final String KNOWN_STATE = "known";
        static final String KNOWN_INDEX = "index";
        static final String KNOWN_EVENTS = "updates";
        static final String SETTINGS = "settings";

        private Config() {}
    }

    /** Top-level keys of the settings and keys of the load report, see {@link petrelplank.routing.RouterSettings}. */
    static final class Settings {
        static final String PROXY_INDEX = "self-index";
        static final String PROXY_COUNT = "balancers";
        static final String ZONE = "zone";
        static final String ZONES = "localities";
        static final String ENDPOINT_KINDS = "kinds";
        static final String WEIGHT_MEANING = "weights";
        static final String DISCOVERY_MODE = "discovery";
        static final String TENANTS = "tenants";
        static final String OVER_QUOTA_WEIGHT_FACTOR = "over-share-worth";
        static final String REPORT = "report";
        static final String REPORT_FIELDS = "fields";
        static final String SERVICE_CLASSES = "services";
        static final String CAPABILITIES = "caps";
        static final String RULES = "rules";
        static final String CACHE_SETTINGS = "family-info";

        private Settings() {}
    }

    /**
     * Keys of the platform's capabilities, see {@link petrelplank.routing.RoutingPermissions}, and limits of upstream
     * connections, see {@link Configuration}.
     */
    static final class Capability {
        static final String MAX_ATTEMPTS = "try-limit";
        static final String HEDGING = "second-copies";
        static final String CANCEL = "cancel";
        static final String HEALTH_CHECKS = "probing";
        static final String GOSSIP = "peer-messages";
        static final String RETRY_AFTER = "retry-after";
        static final String MAX_RETRY_AFTER_US = "max-retry-after-us";
        static final String CONNECT_TIMEOUT_US = "connect-timeout-us";
        static final String MAX_STREAMS_PER_CONNECTION = "max-streams";
        static final String IDLE_TIMEOUT_US = "conn-idle-us";

        private Capability() {}
    }

    /** Keys of the rules of platforms with or without caches, see {@link petrelplank.routing.PlatformRules}. */
    static final class Rule {
        static final String DRAIN_GRACE_US = "stop-sending-within-us";
        static final String SLOW_START_INITIAL_FRACTION = "cold-from";
        static final String SLOW_START_DURATION_US = "warm-after-us";
        static final String OVERLOAD_MULTIPLE = "fall-multiple";
        static final String OVERLOAD_DURATION_US = "fall-us";
        static final String POLL_INTERVAL_US = "ask-every-us";

        private Rule() {}
    }

    /** Keys that only platforms with caches have; arrays have an element for each zone or each service class. */
    static final class CacheSetting {
        static final String PROXY_COUNT_BY_ZONE = "crew-by-zone";
        static final String HUB_BY_ZONE = "hub-of";
        static final String LINK_KB_PER_SECOND_BY_ZONE = "zone-link-kb-per-s";
        static final String PARENT_KIND = "upper-kind";
        static final String ORIGIN_KIND = "origin-kind";
        static final String MAX_RESPONSE_KB_PER_SECOND = "flow-kb-per-s";
        static final String CACHE_STATUS_DETAIL = "note-level";
        static final String SIBLING_FILLS = "neighbours";
        static final String COALESCING = "merges-fills";
        static final String DIRECT_TO_PARENTS = "pass-through-ok";
        static final String FRESHNESS_US = "max-age-us";
        static final String STALE_IF_ERROR_US = "class-grace-us";
        static final String STALE_WEIGHT_FACTOR = "old-copy-worth";
        static final String IS_WRITE = "class-write";
        static final String PARENT_SLOW_START_INITIAL_FRACTION = "parent-cold-from";
        static final String PARENT_SLOW_START_DURATION_US = "parent-cold-us";
        static final String PARENT_OVERLOAD_MULTIPLE = "parent-breaks-at";
        static final String ORIGIN_OVERLOAD_MULTIPLE = "root-fall-multiple";
        static final String ORIGIN_OVERLOAD_DURATION_US = "origin-over-for-us";
        static final String PURGE_GRACE_US = "notice-time-us";
        static final String PURGE_DONE_US = "purge-done-us";

        private CacheSetting() {}
    }

    /** Keys of a service class, see {@link petrelplank.routing.ServiceClass}. */
    static final class Service {
        static final String NAME = "name";
        static final String LATENCY_OBJECTIVE_US = "aim-us";
        static final String OBJECTIVE_SIZE_FACTOR = "aim-stretch";
        static final String DEADLINE_US = "deadline-us";
        static final String PRIORITY_WEIGHT = "worth";
        static final String LATE_WEIGHT_FACTOR = "late-worth";
        static final String IDEMPOTENCY = "repeat";
        static final String IDEMPOTENCY_SCOPE = "group";
        static final String IDEMPOTENCY_WINDOW_US = "key-ttl-us";
        static final String STREAMED = "stream";

        private Service() {}
    }

    /** Keys of a tenant, see {@link petrelplank.routing.Tenant}. */
    static final class Tenant {
        static final String NAME = "name";
        static final String QUOTA_PER_SECOND = "allowance-per-s";

        private Tenant() {}
    }
}
