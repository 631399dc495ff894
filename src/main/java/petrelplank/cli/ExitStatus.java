package petrelplank.cli;

/** Exit statuses of the process; the help of each command lists them. */
final class ExitStatus {
    /** The command succeeded. */
    static final int SUCCESS = 0;

    /**
     * Internal error; the Java runtime exits with this status after an uncaught exception. The simulator adapter
     * returns the same status for an invalid input line.
     */
    static final int INTERNAL_ERROR = 1;

    /** The arguments or a file cannot be used. */
    static final int UNUSABLE_INPUT = 2;

    /** The report command could not read some of the record files; its report covers the others. */
    static final int INCOMPLETE_RECORDS = 3;

    /** A thread of the proxy has ended by an error, for example because the heap is full. */
    static final int THREAD_FAILED = 4;

    /** Description of the statuses, for the help text. */
    static final String HELP = "exit status: " + SUCCESS + " success; " + INTERNAL_ERROR + " internal error; "
            + UNUSABLE_INPUT + " unusable arguments or file; " + INCOMPLETE_RECORDS
            + " some record files could not be read, the report covers the others; " + THREAD_FAILED
            + " a thread of the proxy has ended by an error";

    private ExitStatus() {}
}
