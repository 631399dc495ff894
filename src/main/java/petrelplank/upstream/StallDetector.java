package petrelplank.upstream;

/**
 * Detects that a connection makes no progress. It counts sweeps instead of measuring time: after a pause of the proxy
 * itself, received bytes that it has not read yet must not count as missing. Event thread only, except for
 * {@link #bytesRead}.
 */
final class StallDetector {
    /** What makes no progress on a connection. */
    enum Stall {
        NONE,
        /** A partly received response does not continue, and blocks all responses after it. */
        INCOMPLETE_RESPONSE,
        /** The server does not read, so that an abort can't be written. */
        NOT_READING
    }

    /** Sweeps without progress after which a response counts as stalled; normal operation shows gaps of up to 36 ms. */
    private static final int INCOMPLETE_RESPONSE_SWEEPS = 4;
    /**
     * Sweeps in a row that find an unwritten abort before the server counts as not reading. While the server reads, an
     * abort is written in the next iteration of the I/O thread.
     */
    private static final int NOT_READING_SWEEPS = 2;

    /** Number of bytes read on the connection if a response was received in part, otherwise 0. */
    private volatile long incompleteResponseOffset;

    private long offsetAtLastSweep;
    private int sweepsWithoutProgress;
    private int unwrittenAborts;
    private int sweepsWithUnwrittenAborts;

    /**
     * Called when bytes were read and parsed, on the I/O thread.
     *
     * @param totalBytes number of bytes read on the connection since it was established
     * @param insideResponse whether a response was received in part
     */
    void bytesRead(long totalBytes, boolean insideResponse) {
        incompleteResponseOffset = insideResponse ? totalBytes : 0;
    }

    void abortQueued() {
        unwrittenAborts++;
    }

    void abortWritten() {
        unwrittenAborts--;
    }

    /** Checks for progress since the last sweep. Must be called at a constant interval. */
    Stall sweep() {
        if (isResponseStalled()) {
            return Stall.INCOMPLETE_RESPONSE;
        }
        return isAbortStalled() ? Stall.NOT_READING : Stall.NONE;
    }

    private boolean isResponseStalled() {
        long offset = incompleteResponseOffset;
        sweepsWithoutProgress = offset > 0 && offset == offsetAtLastSweep ? sweepsWithoutProgress + 1 : 0;
        offsetAtLastSweep = offset;
        return sweepsWithoutProgress >= INCOMPLETE_RESPONSE_SWEEPS;
    }

    private boolean isAbortStalled() {
        sweepsWithUnwrittenAborts = unwrittenAborts > 0 ? sweepsWithUnwrittenAborts + 1 : 0;
        return sweepsWithUnwrittenAborts >= NOT_READING_SWEEPS;
    }
}
