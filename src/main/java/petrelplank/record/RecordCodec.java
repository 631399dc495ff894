package petrelplank.record;

import java.io.IOException;
import java.lang.invoke.LambdaMetafactory;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.MethodType;
import java.lang.reflect.Constructor;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.function.ToIntFunction;
import java.util.function.ToLongFunction;
import org.apache.avro.Schema;
import org.apache.avro.generic.IndexedRecord;
import org.apache.avro.io.DatumWriter;
import org.apache.avro.io.Encoder;
import org.apache.avro.util.Utf8;

/**
 * Between entries and Avro: the schema is made from the components of the types in {@link Event}, so that there is
 * one model. Java records become Avro records by their {@link StoredName}, nullable components a union with null.
 */
final class RecordCodec {
    private static final String SPACE = "petrelplank.record";
    private static final int MOST_TEXTS = 4096;

    private final Map<Class<?>, Shape> shapes = new LinkedHashMap<>();
    private final Map<String, Shape> byName = new HashMap<>();
    private final Map<String, Utf8> texts = new HashMap<>();
    private final Shape entry;

    /** How a value is written and read. */
    private interface Kind {
        Schema schema();

        void write(Object value, Encoder to) throws IOException;

        Object read(Object decoded);
    }

    /** A Java record with its components. */
    private final class Shape implements Kind {
        private final Schema schema;
        private final Part[] parts;
        private final Kind[] kinds;
        private final Constructor<?> constructor;

        Shape(Class<?> type) {
            RecordComponent[] components = type.getRecordComponents();
            parts = new Part[components.length];
            kinds = new Kind[components.length];
            Class<?>[] types = new Class<?>[components.length];
            List<Schema.Field> fields = new ArrayList<>();
            schema = Schema.createRecord(StoredNames.ofType(type), null, SPACE, false);
            shapes.put(type, this);
            byName.put(schema.getFullName(), this);
            for (int i = 0; i < parts.length; i++) {
                types[i] = components[i].getType();
                Kind kind = kind(components[i].getGenericType());
                kinds[i] = components[i].isAnnotationPresent(NullableComponent.class) ? absent(kind) : kind;
                parts[i] = part(components[i].getAccessor(), kinds[i]);
                fields.add(new Schema.Field(StoredNames.ofComponent(components[i]), kinds[i].schema()));
            }
            schema.setFields(fields);
            try {
                constructor = type.getDeclaredConstructor(types);
            } catch (NoSuchMethodException e) {
                throw new IllegalStateException(type + " has no canonical constructor", e);
            }
        }

        @Override
        public Schema schema() {
            return schema;
        }

        @Override
        public void write(Object value, Encoder to) throws IOException {
            for (Part part : parts) {
                part.write(value, to);
            }
        }

        @Override
        public Object read(Object decoded) {
            IndexedRecord from = (IndexedRecord) decoded;
            Object[] values = new Object[kinds.length];
            for (int i = 0; i < kinds.length; i++) {
                values[i] = kinds[i].read(from.get(i));
            }
            try {
                return constructor.newInstance(values);
            } catch (InvocationTargetException e) {
                throw new IllegalArgumentException(e.getCause().getMessage(), e);
            } catch (ReflectiveOperationException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    /** Takes a component out of a record and writes it, numbers without a box. */
    private interface Part {
        void write(Object from, Encoder to) throws IOException;
    }

    @SuppressWarnings("unchecked")
    private static Part part(Method accessor, Kind kind) {
        Class<?> type = accessor.getReturnType();
        if (type == long.class) {
            ToLongFunction<Object> get = accessor(ToLongFunction.class, "applyAsLong", long.class, accessor);
            return (from, to) -> to.writeLong(get.applyAsLong(from));
        } else if (type == int.class) {
            ToIntFunction<Object> get = accessor(ToIntFunction.class, "applyAsInt", int.class, accessor);
            return (from, to) -> to.writeInt(get.applyAsInt(from));
        } else if (type == double.class) {
            ToDoubleFunction<Object> get = accessor(ToDoubleFunction.class, "applyAsDouble", double.class, accessor);
            return (from, to) -> to.writeDouble(get.applyAsDouble(from));
        } else if (type == boolean.class) {
            Predicate<Object> get = accessor(Predicate.class, "test", boolean.class, accessor);
            return (from, to) -> to.writeBoolean(get.test(from));
        }
        Function<Object, Object> get = accessor(Function.class, "apply", Object.class, accessor);
        return (from, to) -> kind.write(get.apply(from), to);
    }

    /** An accessor as plain code: a front's quick compiler makes little of reflection. */
    private static <T> T accessor(Class<T> as, String name, Class<?> result, Method accessor) {
        try {
            MethodHandles.Lookup lookup = MethodHandles.lookup();
            return as.cast(LambdaMetafactory.metafactory(
                            lookup,
                            name,
                            MethodType.methodType(as),
                            MethodType.methodType(result, Object.class),
                            lookup.unreflect(accessor),
                            MethodType.methodType(accessor.getReturnType(), accessor.getDeclaringClass()))
                    .getTarget()
                    .invoke());
        } catch (Throwable e) {
            throw new IllegalStateException(accessor.toString(), e);
        }
    }

    RecordCodec() {
        entry = new Shape(Entry.class);
    }

    Schema schema() {
        return entry.schema;
    }

    Entry read(IndexedRecord decoded) {
        return (Entry) entry.read(decoded);
    }

    /** A writer that encodes entries as they are. */
    DatumWriter<Entry> writer() {
        return new DatumWriter<>() {
            @Override
            public void setSchema(Schema schema) {}

            @Override
            public void write(Entry value, Encoder to) throws IOException {
                entry.write(value, to);
            }
        };
    }

    private Kind kind(Type type) {
        if (type instanceof ParameterizedType list) {
            return list(kind(list.getActualTypeArguments()[0]));
        }
        Class<?> plain = (Class<?>) type;
        if (plain == String.class) {
            return simple(Schema.Type.STRING, (v, to) -> to.writeString(bytes((String) v)), Object::toString);
        } else if (plain == long.class || plain == Long.class) {
            return simple(Schema.Type.LONG, (v, to) -> to.writeLong((Long) v), v -> v);
        } else if (plain == int.class) {
            return simple(Schema.Type.INT, (v, to) -> to.writeInt((Integer) v), v -> v);
        } else if (plain == double.class || plain == Double.class) {
            return simple(Schema.Type.DOUBLE, (v, to) -> to.writeDouble((Double) v), v -> v);
        } else if (plain == boolean.class) {
            return simple(Schema.Type.BOOLEAN, (v, to) -> to.writeBoolean((Boolean) v), v -> v);
        } else if (plain.isEnum()) {
            return enumeration(plain);
        } else if (plain.isRecord()) {
            Shape known = shapes.get(plain);
            return known != null ? known : new Shape(plain);
        } else if (plain.isSealed()) {
            return union(plain.getPermittedSubclasses());
        }
        throw new IllegalStateException("no Avro type for " + type);
    }

    /** The same names of fronts, servers and classes come again and again; of others there are few. */
    private Utf8 bytes(String text) {
        Utf8 known = texts.get(text);
        if (known == null) {
            if (texts.size() >= MOST_TEXTS) {
                texts.clear();
            }
            known = new Utf8(text);
            texts.put(text, known);
        }
        return known;
    }

    private interface Put {
        void put(Object value, Encoder to) throws IOException;
    }

    private interface Get {
        Object get(Object decoded);
    }

    private static Kind simple(Schema.Type type, Put put, Get get) {
        return of(Schema.create(type), put, get);
    }

    private static Kind of(Schema schema, Put put, Get get) {
        return new Kind() {
            @Override
            public Schema schema() {
                return schema;
            }

            @Override
            public void write(Object value, Encoder to) throws IOException {
                put.put(value, to);
            }

            @Override
            public Object read(Object decoded) {
                return get.get(decoded);
            }
        };
    }

    private final Map<Class<?>, Kind> enums = new HashMap<>();

    private Kind enumeration(Class<?> type) {
        return enums.computeIfAbsent(type, t -> {
            Map<String, Object> values = new LinkedHashMap<>();
            for (Object constant : t.getEnumConstants()) {
                values.put(StoredNames.ofConstant((Enum<?>) constant), constant);
            }
            return of(
                    Schema.createEnum(StoredNames.ofType(t), null, SPACE, List.copyOf(values.keySet())),
                    (v, to) -> to.writeEnum(((Enum<?>) v).ordinal()),
                    v -> values.get(v.toString()));
        });
    }

    private static Kind absent(Kind kind) {
        return of(
                Schema.createUnion(Schema.create(Schema.Type.NULL), kind.schema()),
                (v, to) -> {
                    to.writeIndex(v == null ? 0 : 1);
                    if (v != null) {
                        kind.write(v, to);
                    }
                },
                v -> v == null ? null : kind.read(v));
    }

    private static Kind list(Kind item) {
        return of(
                Schema.createArray(item.schema()),
                (v, to) -> {
                    List<?> all = (List<?>) v;
                    to.writeArrayStart();
                    to.setItemCount(all.size());
                    for (Object one : all) {
                        to.startItem();
                        item.write(one, to);
                    }
                    to.writeArrayEnd();
                },
                v -> {
                    List<Object> all = new ArrayList<>();
                    for (Object one : (Iterable<?>) v) {
                        all.add(item.read(one));
                    }
                    return List.copyOf(all);
                });
    }

    private Kind union(Class<?>[] types) {
        List<Schema> schemas = new ArrayList<>();
        Map<Class<?>, Put> branches = new HashMap<>();
        for (Class<?> type : types) {
            int place = schemas.size();
            Kind kind = kind(type);
            branches.put(type, (v, to) -> {
                to.writeIndex(place);
                kind.write(v, to);
            });
            schemas.add(kind.schema());
        }
        return of(
                Schema.createUnion(schemas),
                (v, to) -> branches.get(v.getClass()).put(v, to),
                v -> byName.get(((IndexedRecord) v).getSchema().getFullName()).read(v));
    }
}
