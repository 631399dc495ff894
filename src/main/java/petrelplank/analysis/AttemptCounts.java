package petrelplank.analysis;

/** Attempts at an endpoint in one second. */
public final class AttemptCounts {
    /** A second without attempts. */
    public static final AttemptCounts NONE = new AttemptCounts();

    private long sent;
    private long succeeded;
    private long otherResponses;

    AttemptCounts() {}

    void addSent() {
        sent++;
    }

    void addResponse(boolean success) {
        if (success) {
            succeeded++;
        } else {
            otherResponses++;
        }
    }

    /**
     * Attempts sent.
     *
     * @return the count
     */
    public long sent() {
        return sent;
    }

    /**
     * Attempts that ended well.
     *
     * @return the count
     */
    public long succeeded() {
        return succeeded;
    }

    /**
     * Attempts that ended in any other way, but for those that the proxy abandoned.
     *
     * @return the count
     */
    public long otherResponses() {
        return otherResponses;
    }
}
