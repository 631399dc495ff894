package petrelplank.cli;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import org.kohsuke.args4j.Option;

/** Base class of the sub-commands, with the options that all of them share. */
abstract class BaseCommand {
    @Option(name = "--help", help = true, usage = "print the options and exit statuses")
    private boolean help;

    @Option(name = "--log-format", metaVar = "text|json", usage = "format of log lines on standard error")
    private LogFormat logFormat = LogFormat.TEXT;

    /**
     * Runs the command.
     *
     * @return the exit status, one of {@link ExitStatus}
     * @throws IOException if reading input or writing output fails
     */
    public abstract int run() throws IOException;

    final LogFormat logFormat() {
        return logFormat;
    }

    final boolean helpRequested() {
        return help;
    }

    /**
     * Checks that a file can be written, so that an error is reported before the work starts and not after it.
     *
     * @param file the output file, which may not exist yet
     * @return the reason why it cannot be written, or null if it can
     */
    static String findWriteProblem(File file) {
        File directory = file.getAbsoluteFile().getParentFile();
        if (file.isDirectory()) {
            return file + ": is a directory, expected a file";
        }
        if (!directory.isDirectory()) {
            return file + ": directory does not exist: " + directory;
        }
        File writeTarget = file.exists() ? file : directory;
        return Files.isWritable(writeTarget.toPath()) ? null : file + ": no permission to write";
    }

    /**
     * Reports unusable arguments or files, in one line on standard error.
     *
     * @param reason the problem
     * @return {@link ExitStatus#UNUSABLE_INPUT}
     */
    static int reportUnusableInput(String reason) {
        System.err.println("petrelplank: " + String.valueOf(reason).replace('\n', ' '));
        return ExitStatus.UNUSABLE_INPUT;
    }
}
