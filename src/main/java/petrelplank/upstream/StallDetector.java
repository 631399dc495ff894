package petrelplank.upstream;

/**
 * Detects that nothing moves on one connection any more. It counts sweeps, not time: a proxy that was held up itself
 * must not take the bytes that it has not read yet for missing. Event thread only, but for {@link #bytesRead}.
 */
final class StallDetector {
    /** What has stopped on a connection. */
    enum Stall {
        NONE,
        /** A response has begun and does not go on: it hides all that comes behind it. */
        INCOMPLETE_RESPONSE,
        /** The server reads nothing: an abort can't be written. */
        NOT_READING
    }

    /** A response that has not grown over so many sweeps has stopped; gaps of 36 ms were seen in normal operation. */
    private static final int INCOMPLETE_RESPONSE_SWEEPS = 4;
    /** An abort is written in the I/O thread's next turn unless the server reads nothing: not so at two sweeps. */
    private static final int NOT_READING_SWEEPS = 2;

    /** Bytes read on the connection where a response has begun and not ended; else 0. */
    private volatile long incompleteAtByte;

    private long incompleteAtLastSweep;
    private int sweepsWithoutProgress;
    private int unwrittenAborts;
    private int sweepsWithUnwrittenAborts;

    /**
     * Bytes were read and parsed; from the I/O thread.
     *
     * @param totalBytes bytes read on the connection so far
     * @param insideResponse whether a response has begun and not ended
     */
    void bytesRead(long totalBytes, boolean insideResponse) {
        incompleteAtByte = insideResponse ? totalBytes : 0;
    }

    void abortQueued() {
        unwrittenAborts++;
    }

    void abortWritten() {
        unwrittenAborts--;
    }

    /** Looks once more; to be called at a steady interval. */
    Stall sweep() {
        if (responseStandsStill()) {
            return Stall.INCOMPLETE_RESPONSE;
        }
        return abortsStandStill() ? Stall.NOT_READING : Stall.NONE;
    }

    private boolean responseStandsStill() {
        long position = incompleteAtByte;
        sweepsWithoutProgress = position > 0 && position == incompleteAtLastSweep ? sweepsWithoutProgress + 1 : 0;
        incompleteAtLastSweep = position;
        return sweepsWithoutProgress >= INCOMPLETE_RESPONSE_SWEEPS;
    }

    private boolean abortsStandStill() {
        sweepsWithUnwrittenAborts = unwrittenAborts > 0 ? sweepsWithUnwrittenAborts + 1 : 0;
        return sweepsWithUnwrittenAborts >= NOT_READING_SWEEPS;
    }
}
