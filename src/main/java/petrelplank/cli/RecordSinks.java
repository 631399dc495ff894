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
 * Creates the record sink that the operator file asks for. Separate from {@link ServeCommand} so that a proxy without
 * records does not load the classes for them.
 */
final class RecordSinks {
    private RecordSinks() {}

    /**
     * Creates the record sink of a proxy.
     *
     * @param operator the operator file
     * @param name the name of the proxy
     * @return the sink, or {@link EventSink#NONE} if the file does not turn records on
     * @throws IOException if the operator file cannot be read or the record directory cannot be used
     */
    static EventSink sink(File operator, String name) throws IOException {
        Section file = Yaml.read(operator.toPath());
        RecordSettings settings = OperatorRecords.read(file.section("records"));
        file.done();
        return settings == null ? EventSink.NONE : new FileSink(settings, name, new SecureRandom().nextLong());
    }
}
