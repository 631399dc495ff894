package petrelplank.analysis;

/**
 * A response served from a cached copy of known age.
 *
 * @param object the object
 * @param group its purge group
 * @param sentUs when the attempt was sent
 * @param bornMs when the copy was made, in Unix milliseconds
 * @param endedUs when the attempt ended
 * @param bytes the size of the response
 */
record ServedCopy(long object, int group, long sentUs, long bornMs, long endedUs, long bytes) {
    static final int COLUMNS = 6;

    /** Reads a row as written by {@link #addTo}. */
    static ServedCopy ofRow(LongTable table, int row) {
        return new ServedCopy(
                table.get(row, 0),
                (int) table.get(row, 1),
                table.get(row, 2),
                table.get(row, 3),
                table.get(row, 4),
                table.get(row, 5));
    }

    void addTo(LongTable table) {
        table.add(object, group, sentUs, bornMs, endedUs, bytes);
    }

    long endedSecond() {
        return UnixTime.second(endedUs);
    }
}
