package petrelplank.record;

import java.lang.reflect.AnnotatedElement;
import java.lang.reflect.RecordComponent;
import java.util.Locale;
import java.util.Map;
import petrelplank.routing.GivenUp;
import petrelplank.routing.Note;
import petrelplank.routing.Repeat;
import petrelplank.routing.State;
import petrelplank.routing.Status;

/**
 * The names that record files and JSON documents use, kept apart from Java names. Types of this package carry them as
 * {@link StoredName}; the enums of the decision module, which knows nothing of records, are mapped here.
 */
public final class StoredNames {
    private static final Map<Class<?>, String> ENUM_TYPES = Map.of(
            Status.class, "Status",
            Note.class, "Note",
            GivenUp.class, "GivenUp",
            State.class, "State",
            Repeat.class, "Repeat");

    private StoredNames() {}

    /** The stored name of a record type or an enum. */
    static String ofType(Class<?> type) {
        String mapped = ENUM_TYPES.get(type);
        return mapped != null ? mapped : annotated(type, type.getName());
    }

    /** The stored name of a record's component. */
    static String ofComponent(RecordComponent component) {
        return annotated(component, component.toString());
    }

    /** The stored name of an enum's constant. */
    static String ofConstant(Enum<?> constant) {
        if (constant instanceof Status status) {
            return of(status);
        } else if (constant instanceof Note note) {
            return of(note);
        } else if (constant instanceof GivenUp reason) {
            return of(reason);
        } else if (constant instanceof State state) {
            return of(state);
        } else if (constant instanceof Repeat repeat) {
            return of(repeat);
        }
        try {
            return annotated(constant.getDeclaringClass().getField(constant.name()), constant.toString());
        } catch (NoSuchFieldException e) {
            throw new IllegalStateException(constant + " is no field of its enum", e);
        }
    }

    private static String annotated(AnnotatedElement element, String described) {
        StoredName name = element.getAnnotation(StoredName.class);
        if (name == null) {
            throw new IllegalStateException(described + " has no @StoredName");
        }
        return name.value();
    }

    /**
     * The stored name as a key of JSON documents.
     *
     * @param storedName a constant's stored name
     * @return in lower case, with underscores
     */
    public static String jsonKey(String storedName) {
        return storedName.toLowerCase(Locale.ROOT);
    }

    /**
     * The stored name of a status.
     *
     * @param status how an attempt ended
     * @return its name in record files
     */
    public static String of(Status status) {
        return switch (status) {
            case OK -> "OK";
            case ERROR -> "ERROR";
            case FULL -> "FULL";
            case TIMEOUT -> "TIMEOUT";
            case CONNECT_FAILED -> "CONNECT_FAILED";
            case RESET -> "RESET";
            case CANCELLED -> "CANCELLED";
            case MOOT -> "MOOT";
            case MISS -> "MISS";
        };
    }

    /**
     * The stored name of a note.
     *
     * @param note what an answer told of the copy or the fill
     * @return its name in record files
     */
    public static String of(Note note) {
        return switch (note) {
            case NONE -> "NONE";
            case HIT -> "HIT";
            case FILLED -> "FILLED";
            case FROM_ORIGIN -> "FROM_ORIGIN";
            case JOINED -> "JOINED";
            case OLD_COPY -> "OLD_COPY";
            case SOURCE_REFUSED -> "SOURCE_REFUSED";
            case SOURCE_UNREACHABLE -> "SOURCE_UNREACHABLE";
            case SOURCE_LACKS -> "SOURCE_LACKS";
            case NO_FILL_PLACE -> "NO_FILL_PLACE";
            case ORIGIN_FAILED -> "ORIGIN_FAILED";
        };
    }

    /**
     * The stored name of a reason.
     *
     * @param reason why a request was given up
     * @return its name in record files
     */
    public static String of(GivenUp reason) {
        return switch (reason) {
            case TIME -> "TIME";
            case ORIGIN_SHORT -> "ORIGIN_SHORT";
            case ATTEMPTS -> "ATTEMPTS";
            case MAY_HAVE_RUN -> "MAY_HAVE_RUN";
            case NO_RETRY -> "NO_RETRY";
            case NO_SERVER -> "NO_SERVER";
            case NO_FILL -> "NO_FILL";
        };
    }

    /**
     * The stored name of a server's state.
     *
     * @param state the state
     * @return its name in record files
     */
    public static String of(State state) {
        return switch (state) {
            case UP -> "UP";
            case DRAINING -> "DRAINING";
            case GONE -> "GONE";
        };
    }

    /**
     * The stored name of how far a class may be repeated.
     *
     * @param repeat how far
     * @return its name in record files
     */
    public static String of(Repeat repeat) {
        return switch (repeat) {
            case FREE -> "FREE";
            case KEYED -> "KEYED";
            case NEVER -> "NEVER";
        };
    }

    /**
     * The stored name of a final answer.
     *
     * @param answer what it said
     * @return its name in record files
     */
    public static String of(Event.Final answer) {
        return ofConstant(answer);
    }
}
