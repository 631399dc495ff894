package petrelplank.cli;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import org.kohsuke.args4j.Option;

/** A sub-command, with the options that all of them have. */
abstract class BaseCommand {
    @Option(name = "--help", help = true, usage = "print the options and exit statuses")
    private boolean help;

    @Option(name = "--log-format", metaVar = "text|json", usage = "the form of log lines on standard error")
    private LogFormat logFormat = LogFormat.TEXT;

    /**
     * Runs the command.
     *
     * @return the exit status, one of {@link ExitStatus}
     * @throws IOException when standard output breaks
     */
    public abstract int run() throws IOException;

    final LogFormat logFormat() {
        return logFormat;
    }

    final boolean helpRequested() {
        return help;
    }

    /**
     * Checks that a file can be written, so that a fault is reported before the work and not after it.
     *
     * @param file the file, which need not exist
     * @return what is wrong; null where it can be written
     */
    static String unwritable(File file) {
        File directory = file.getAbsoluteFile().getParentFile();
        if (file.isDirectory()) {
            return file + ": is a directory";
        }
        if (!directory.isDirectory()) {
            return file + ": there is no directory " + directory;
        }
        File changed = file.exists() ? file : directory;
        return Files.isWritable(changed.toPath()) ? null : file + ": can't be written";
    }

    /**
     * Reports input that can't be used, in one line on standard error.
     *
     * @param reason what is wrong
     * @return the exit status
     */
    static int unusable(String reason) {
        System.err.println("petrelplank: " + String.valueOf(reason).replace('\n', ' '));
        return ExitStatus.UNUSABLE_INPUT;
    }
}
