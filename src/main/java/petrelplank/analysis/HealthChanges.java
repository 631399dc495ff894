package petrelplank.analysis;

/** When one incarnation ejected an endpoint and took it back. */
final class HealthChanges {
    private static final int EJECTED = 1;
    private static final int RECOVERED = 0;

    /** Rows of time and {@link #EJECTED} or {@link #RECOVERED}. */
    private final LongTable changes = new LongTable(2);

    void ejected(long unixUs) {
        changes.add(unixUs, EJECTED);
    }

    void recovered(long unixUs) {
        changes.add(unixUs, RECOVERED);
    }

    /** Whether it was ejected at some time between two, both included. */
    boolean ejectedBetween(long fromUs, long toUs) {
        for (int row = 0; row < changes.size(); row++) {
            long atUs = changes.get(row, 0);
            if (changes.get(row, 1) == EJECTED && atUs >= fromUs && atUs <= toUs) {
                return true;
            }
        }
        return false;
    }

    /** Whether the last change by a time was an ejection. */
    boolean isEjectedAt(long unixUs) {
        boolean ejected = false;
        for (long[] change : changes.sorted()) {
            ejected = change[0] <= unixUs ? change[1] == EJECTED : ejected;
        }
        return ejected;
    }
}
