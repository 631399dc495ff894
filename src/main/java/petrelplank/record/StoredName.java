package petrelplank.record;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * The name of a type, component or constant in record files. It never changes, even if the Java name does, so that
 * files of earlier versions can still be read.
 */
@Retention(RetentionPolicy.RUNTIME)
@Target({ElementType.TYPE, ElementType.RECORD_COMPONENT, ElementType.FIELD})
public @interface StoredName {
    /** The name in the schema of record files. */
    String value();
}
