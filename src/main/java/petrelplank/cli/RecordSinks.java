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
     * @param operatorFile the operator file
     * @param proxyName the name of the proxy
     * @return the sink, or {@link EventSink#NONE} if the file does not turn records on
     * @throws IOException if the operator file cannot be read or the record directory cannot be used
     */
    static EventSink create(File operatorFile, String proxyName) throws IOException {
        Section operatorSettings = Yaml.read(operatorFile.toPath());
        RecordSettings settings = OperatorRecords.read(operatorSettings.section("records"));
        operatorSettings.done();
        return settings == null ? EventSink.NONE : new FileSink(settings, proxyName, new SecureRandom().nextLong());
    }
}
