package petrelplank.record;

import java.lang.reflect.AnnotatedElement;
import java.lang.reflect.RecordComponent;
import java.util.Locale;
import java.util.Map;
import petrelplank.routing.AttemptStatus;
import petrelplank.routing.CacheStatus;
import petrelplank.routing.EndpointState;
import petrelplank.routing.Idempotency;
import petrelplank.routing.TerminationReason;

/**
 * The names used in record files and JSON documents, which are independent of the Java names. Types of this package
 * declare theirs with {@link StoredName}. The enums of the routing package are mapped here, because that package must
 * not depend on this one.
 */
public final class StoredNames {
    private static final Map<Class<?>, String> ENUM_TYPES = Map.of(
            AttemptStatus.class, "Status",
            CacheStatus.class, "Note",
            TerminationReason.class, "GivenUp",
            EndpointState.class, "State",
            Idempotency.class, "Repeat");

    private StoredNames() {}

    /** Returns the stored name of a record type or an enum type. */
    static String ofType(Class<?> type) {
        String mapped = ENUM_TYPES.get(type);
        return mapped != null ? mapped : annotated(type, type.getName());
    }

    /** Returns the stored name of a record component. */
    static String ofComponent(RecordComponent component) {
        return annotated(component, component.toString());
    }

    /** Returns the stored name of an enum constant. */
    static String ofConstant(Enum<?> constant) {
        if (constant instanceof AttemptStatus status) {
            return of(status);
        } else if (constant instanceof CacheStatus cacheStatus) {
            return of(cacheStatus);
        } else if (constant instanceof TerminationReason reason) {
            return of(reason);
        } else if (constant instanceof EndpointState state) {
            return of(state);
        } else if (constant instanceof Idempotency idempotency) {
            return of(idempotency);
        }
        try {
            return annotated(constant.getDeclaringClass().getField(constant.name()), constant.toString());
        } catch (NoSuchFieldException e) {
            throw new IllegalStateException(constant + " is not a public field of its enum type", e);
        }
    }

    private static String annotated(AnnotatedElement element, String description) {
        StoredName name = element.getAnnotation(StoredName.class);
        if (name == null) {
            throw new IllegalStateException(description + " has no @StoredName annotation");
        }
        return name.value();
    }

    /**
     * Returns the key of a constant in JSON documents.
     *
     * @param storedName the constant's stored name
     * @return the key
     */
    public static String jsonKey(String storedName) {
        return storedName.toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the stored name of an attempt status.
     *
     * @param status the status
     * @return its name in record files
     */
    public static String of(AttemptStatus status) {
        return switch (status) {
            case OK -> "OK";
            case ERROR -> "ERROR";
            case REJECTED -> "FULL";
            case TIMEOUT -> "TIMEOUT";
            case CONNECT_FAILED -> "CONNECT_FAILED";
            case RESET -> "RESET";
            case CANCELLED -> "CANCELLED";
            // Files have one name for attempts of which nothing was sent.
            case NOT_SENT, WITHDRAWN -> "MOOT";
            case MISS -> "MISS";
        };
    }

    /**
     * Returns the stored name of a cache status.
     *
     * @param cacheStatus the cache status
     * @return its name in record files
     */
    public static String of(CacheStatus cacheStatus) {
        return switch (cacheStatus) {
            case NONE -> "NONE";
            case HIT -> "HIT";
            case FILLED -> "FILLED";
            case FILLED_FROM_ORIGIN -> "FROM_ORIGIN";
            case COALESCED -> "JOINED";
            case STALE -> "OLD_COPY";
            case SOURCE_REJECTED -> "SOURCE_REFUSED";
            case SOURCE_UNREACHABLE -> "SOURCE_UNREACHABLE";
            case SOURCE_MISS -> "SOURCE_LACKS";
            case FILL_LIMIT_REACHED -> "NO_FILL_PLACE";
            case ORIGIN_FAILED -> "ORIGIN_FAILED";
        };
    }

    /**
     * Returns the stored name of a termination reason.
     *
     * @param reason why the router ended a request without a response
     * @return its name in record files
     */
    public static String of(TerminationReason reason) {
        return switch (reason) {
            case DEADLINE_TOO_CLOSE -> "TIME";
            case ORIGIN_OVERLOADED -> "ORIGIN_SHORT";
            case ATTEMPTS_EXHAUSTED -> "ATTEMPTS";
            case MAY_HAVE_EXECUTED -> "MAY_HAVE_RUN";
            case RETRY_BUDGET_EXHAUSTED -> "NO_RETRY";
            case NO_ENDPOINT_AVAILABLE -> "NO_SERVER";
            case FILL_NOT_ALLOWED -> "NO_FILL";
        };
    }

    /**
     * Returns the stored name of an endpoint state.
     *
     * @param state the state
     * @return its name in record files
     */
    public static String of(EndpointState state) {
        return switch (state) {
            case UP -> "UP";
            case DRAINING -> "DRAINING";
            case REMOVED -> "GONE";
        };
    }

    /**
     * Returns the stored name of a service class's idempotency.
     *
     * @param idempotency whether its requests may be retried
     * @return its name in record files
     */
    public static String of(Idempotency idempotency) {
        return switch (idempotency) {
            case IDEMPOTENT -> "FREE";
            case IDEMPOTENT_WITH_KEY -> "KEYED";
            case NON_IDEMPOTENT -> "NEVER";
        };
    }

    /**
     * Returns the stored name of a response kind.
     *
     * @param kind the response kind
     * @return its name in record files
     */
    public static String of(ResponseKind kind) {
        return ofConstant(kind);
    }
}
