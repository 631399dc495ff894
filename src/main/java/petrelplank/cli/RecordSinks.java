package petrelplank.cli;

import java.io.File;
import java.io.IOException;
import java.security.SecureRandom;
import petrelplank.record.EventSink;
import petrelplank.record.FileSink;
import petrelplank.record.OperatorRecords;
import petrelplank.record.RecordSettings;
import petrelplank.yaml.Section;
import petrelplank.yaml.Yaml;

/**
 * Turns records on where the operator's file says so. Apart from {@link ServeCommand}, so that a proxy without records
 * does not load the classes for them.
 */
final class RecordSinks {
    private RecordSinks() {}

    /**
     * Starts the sink of a proxy.
     *
     * @param operator the operator's file
     * @param name the proxy's name
     * @return the sink that the file asks for
     */
    static EventSink sink(File operator, String name) throws IOException {
        Section file = Yaml.read(operator.toPath());
        RecordSettings settings = OperatorRecords.read(file.section("records"));
        file.done();
        return settings == null ? EventSink.NONE : new FileSink(settings, name, new SecureRandom().nextLong());
    }
}
