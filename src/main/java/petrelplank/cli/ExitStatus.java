package petrelplank.cli;

/** Exit statuses of the process, as the help of each command names them. */
final class ExitStatus {
    /** The command did what it was asked. */
    static final int SUCCESS = 0;

    /** A fault of the program; the Java runtime ends with this status after an uncaught exception. */
    static final int INTERNAL_ERROR = 1;

    /** The arguments or a file can't be used. */
    static final int UNUSABLE_INPUT = 2;

    /** Some record files could not be read, and the report was made of the rest. */
    static final int INCOMPLETE_RECORDS = 3;

    /** The statuses in words, for help. */
    static final String HELP = "exit status: " + SUCCESS + " done; " + INTERNAL_ERROR + " a fault of the program; "
            + UNUSABLE_INPUT + " the arguments or a file can't be used; " + INCOMPLETE_RECORDS
            + " some records could not be read, and the report was made of the rest";

    private ExitStatus() {}
}
