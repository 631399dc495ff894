package petrelplank.record;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * The name that a type, component or constant has in record files. It never changes, whatever the Java name becomes:
 * files written by earlier versions are read by it.
 */
@Retention(RetentionPolicy.RUNTIME)
@Target({ElementType.TYPE, ElementType.RECORD_COMPONENT, ElementType.FIELD})
public @interface StoredName {
    /** The name in the file's schema. */
    String value();
}
