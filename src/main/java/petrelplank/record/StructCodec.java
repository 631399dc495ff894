package petrelplank.record;

import java.io.IOException;
import java.lang.reflect.Constructor;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.RecordComponent;
import java.util.ArrayList;
import java.util.List;
import org.apache.avro.Schema;
import org.apache.avro.generic.IndexedRecord;
import org.apache.avro.io.Encoder;

/** Encodes a Java record as an Avro record with a field for each component. */
final class StructCodec implements ValueCodec {
    private final Schema schema;
    private final ComponentWriter[] writers;
    private final ValueCodec[] codecs;
    private final Constructor<?> constructor;

    StructCodec(Class<?> type, ValueCodecs registry) {
        RecordComponent[] components = type.getRecordComponents();
        writers = new ComponentWriter[components.length];
        codecs = new ValueCodec[components.length];
        Class<?>[] parameterTypes = new Class<?>[components.length];
        List<Schema.Field> fields = new ArrayList<>();
        for (int i = 0; i < components.length; i++) {
            RecordComponent component = components[i];
            parameterTypes[i] = component.getType();
            codecs[i] = codecOf(component, registry);
            writers[i] = ComponentWriter.of(component.getAccessor(), codecs[i]);
            fields.add(new Schema.Field(StoredNames.ofComponent(component), codecs[i].schema()));
        }
        schema = Schema.createRecord(StoredNames.ofType(type), null, RecordCodec.NAMESPACE, false, fields);
        try {
            constructor = type.getDeclaredConstructor(parameterTypes);
        } catch (NoSuchMethodException e) {
            throw new IllegalStateException(type + " has no canonical constructor", e);
        }
    }

    private static ValueCodec codecOf(RecordComponent component, ValueCodecs registry) {
        ValueCodec codec = registry.of(component.getGenericType());
        return component.isAnnotationPresent(NullableComponent.class) ? new NullableCodec(codec) : codec;
    }

    @Override
    public Schema schema() {
        return schema;
    }

    @Override
    public void write(Object value, Encoder encoder) throws IOException {
        for (ComponentWriter writer : writers) {
            writer.write(value, encoder);
        }
    }

    @Override
    public Object read(Object decoded) {
        IndexedRecord avroRecord = (IndexedRecord) decoded;
        Object[] values = new Object[codecs.length];
        for (int i = 0; i < codecs.length; i++) {
            values[i] = codecs[i].read(avroRecord.get(i));
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
