package petrelplank.record;

import java.lang.reflect.ParameterizedType;
import java.lang.reflect.Type;
import java.util.HashMap;
import java.util.Map;

/**
 * Provides the codec of each Java type. A schema may define a named Avro type only once, so the codec of a named type
 * is created once and reused.
 */
final class ValueCodecs {
    private static final Map<Type, ValueCodec> SCALARS = Map.of(
            long.class, ScalarCodec.LONG,
            Long.class, ScalarCodec.LONG,
            int.class, ScalarCodec.INT,
            double.class, ScalarCodec.DOUBLE,
            Double.class, ScalarCodec.DOUBLE,
            boolean.class, ScalarCodec.BOOLEAN);

    private final ValueCodec stringCodec = new StringCodec();
    private final Map<Class<?>, ValueCodec> codecsByNamedType = new HashMap<>();

    /**
     * Returns the codec of a component's type.
     *
     * @param type a scalar, string, enum, record, sealed interface, or a list of one of these
     * @throws IllegalStateException if the type cannot be stored in record files
     */
    ValueCodec of(Type type) {
        if (type instanceof ParameterizedType list) {
            return new ListCodec(of(list.getActualTypeArguments()[0]));
        }
        ValueCodec scalar = type == String.class ? stringCodec : SCALARS.get(type);
        return scalar != null ? scalar : ofNamed((Class<?>) type);
    }

    private ValueCodec ofNamed(Class<?> type) {
        ValueCodec codec = codecsByNamedType.get(type);
        if (codec == null) {
            codec = create(type);
            codecsByNamedType.put(type, codec);
        }
        return codec;
    }

    private ValueCodec create(Class<?> type) {
        if (type.isEnum()) {
            return new EnumCodec(type);
        } else if (type.isRecord()) {
            return new StructCodec(type, this);
        } else if (type == Event.class) {
            return new UnionCodec(StoredEventOrder.TYPES, this);
        }
        throw new IllegalStateException("no Avro schema is defined for " + type);
    }
}
