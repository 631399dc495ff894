package petrelplank.record;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * The name of a type, component or constant in record files. It never changes, whatever the Java name becomes: it is what
 * files of earlier versions are read by.
 */
@Retention(RetentionPolicy.RUNTIME)
@Target({ElementType.TYPE, ElementType.RECORD_COMPONENT, ElementType.FIELD})
public @interface StoredName {
    /** The name in the file's schema. */
    String value();
}
