package petrelplank.record;

import java.io.IOException;
import java.lang.invoke.LambdaMetafactory;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.MethodType;
import java.lang.reflect.Method;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.function.ToIntFunction;
import java.util.function.ToLongFunction;
import org.apache.avro.io.Encoder;

/** Encodes one component of a Java record. Primitive components are encoded without boxing. */
interface ComponentWriter {
    /** Reads the component's value from the record {@code source} and encodes it. */
    void write(Object source, Encoder encoder) throws IOException;

    /**
     * Creates the writer of a component.
     *
     * @param accessor the component's accessor method
     * @param codec encodes the value if its type is not primitive
     */
    @SuppressWarnings("unchecked")
    static ComponentWriter of(Method accessor, ValueCodec codec) {
        Class<?> type = accessor.getReturnType();
        if (type == long.class) {
            ToLongFunction<Object> getter = getter(ToLongFunction.class, "applyAsLong", long.class, accessor);
            return (source, encoder) -> encoder.writeLong(getter.applyAsLong(source));
        } else if (type == int.class) {
            ToIntFunction<Object> getter = getter(ToIntFunction.class, "applyAsInt", int.class, accessor);
            return (source, encoder) -> encoder.writeInt(getter.applyAsInt(source));
        } else if (type == double.class) {
            ToDoubleFunction<Object> getter = getter(ToDoubleFunction.class, "applyAsDouble", double.class, accessor);
            return (source, encoder) -> encoder.writeDouble(getter.applyAsDouble(source));
        } else if (type == boolean.class) {
            Predicate<Object> getter = getter(Predicate.class, "test", boolean.class, accessor);
            return (source, encoder) -> encoder.writeBoolean(getter.test(source));
        }
        Function<Object, Object> getter = getter(Function.class, "apply", Object.class, accessor);
        return (source, encoder) -> codec.write(getter.apply(source), encoder);
    }

    /**
     * Wraps the accessor in a lambda. Reflection is too slow here: the proxy runs with the C1 compiler only, which does
     * not optimize {@link Method#invoke}.
     */
    private static <T> T getter(Class<T> functionalType, String methodName, Class<?> resultType, Method accessor) {
        try {
            MethodHandles.Lookup lookup = MethodHandles.lookup();
            return functionalType.cast(LambdaMetafactory.metafactory(
                            lookup,
                            methodName,
                            MethodType.methodType(functionalType),
                            MethodType.methodType(resultType, Object.class),
                            lookup.unreflect(accessor),
                            MethodType.methodType(accessor.getReturnType(), accessor.getDeclaringClass()))
                    .getTarget()
                    .invoke());
        } catch (Throwable failure) {
            throw new IllegalStateException(accessor.toString(), failure);
        }
    }
}
