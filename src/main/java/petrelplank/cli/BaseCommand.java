package petrelplank.cli;

import java.io.File;
import java.nio.file.Files;
import org.kohsuke.args4j.Option;

/** What commands share: help, and one line for what can't be used. */
abstract class BaseCommand {
    /** Exit status where the arguments or a file can't be used. */
    static final int UNUSABLE = 2;

    @Option(name = "--help", help = true, usage = "tells the options and exit statuses")
    private boolean help;

    /** The forms that log lines may have. */
    enum LogFormat {
        /** Time, level, class and text. */
        text,
        /** An object a line. */
        json
    }

    @Option(name = "--log-format", metaVar = "text|json", usage = "the form of log lines on standard error")
    private LogFormat logFormat = LogFormat.text;

    LogFormat logFormat() {
        return logFormat;
    }

    boolean help() {
        return help;
    }

    /** Why a file can't be written, told before the work and not after it; null where it can. */
    static String unwritable(File file) {
        File folder = file.getAbsoluteFile().getParentFile();
        return file.isDirectory()
                ? file + ": is a directory"
                : !folder.isDirectory()
                        ? file + ": there is no directory " + folder
                        : !Files.isWritable((file.exists() ? file : folder).toPath())
                                ? file + ": can't be written"
                                : null;
    }

    static int unusable(String why) {
        System.err.println("petrelplank: " + String.valueOf(why).replace('\n', ' '));
        return UNUSABLE;
    }
}
