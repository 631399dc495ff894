package petrelplank.record;

import java.nio.file.Path;
import petrelplank.yaml.Section;

/** Parses the section {@code records} of the operator file (YAML). */
public final class OperatorRecords {
    private static final long KIB = 1L << 10;
    private static final long MIB = 1L << 20;
    private static final long GIB = 1L << 30;
    private static final long TIB = 1L << 40;
    private static final long SECOND_US = 1_000_000;
    private static final long HOUR_US = 3600 * SECOND_US;
    private static final long DAY_US = 24 * HOUR_US;

    private OperatorRecords() {}

    /**
     * Parses the section and checks its values.
     *
     * @param records the section; null if the file has none
     * @return where and how to write records; null if records are off
     */
    public static RecordSettings read(Section records) {
        if (records == null) {
            return null;
        }
        boolean on = records.flag("on", false);
        String directory = records.text("directory", "");
        long fileBytes = records.bytes("file-size", 16 * MIB, 64 * KIB, GIB);
        long maxFileAgeUs = records.durationUs("file-age", HOUR_US, SECOND_US, DAY_US);
        long totalBytes = records.bytes("total-size", 256 * MIB, 128 * KIB, TIB);
        int queued = (int) records.whole("queue", 16_384, 16, MIB);
        long flushUs = records.durationUs("flush", SECOND_US / 2, SECOND_US / 100, 60 * SECOND_US);
        boolean compress = records.flag("compress", false);
        if (on && directory.isEmpty()) {
            throw records.wrong("directory", "is required when records are on");
        }
        if (totalBytes < 2 * fileBytes) {
            throw records.wrong("total-size", "should be at least twice file-size");
        }
        records.done();
        return on
                ? new RecordSettings(Path.of(directory), fileBytes, maxFileAgeUs, totalBytes, queued, flushUs, compress)
                : null;
    }
}
