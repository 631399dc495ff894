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

/** Turns records on where the operator's file says so. Apart from {@link ServeCommand}, so that nothing of it is loaded. */
final class RecordSinks {
    private RecordSinks() {}

    static EventSink sink(File operator, String name) throws IOException {
        Section file = Yaml.read(operator.toPath());
        RecordSettings settings = OperatorRecords.read(file.section("records"));
        file.done();
        return settings == null ? EventSink.NONE : new FileSink(settings, name, new SecureRandom().nextLong());
    }
}
