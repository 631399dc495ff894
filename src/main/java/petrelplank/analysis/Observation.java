package petrelplank.analysis;

/**
 * What one attempt, or one fill by way of the endpoint, showed of an endpoint.
 *
 * @param sentUs when the endpoint was asked
 * @param resolvedUs when the outcome was known
 * @param outcome how it reacted
 */
record Observation(long sentUs, long resolvedUs, Outcome outcome) {
    /** How an endpoint reacted; stored by ordinal in a {@link LongTable}. */
    enum Outcome {
        /** It answered, whatever it said, but for an error. */
        ANSWERED,
        /** It did not answer. */
        UNANSWERED,
        /** It answered with an error. */
        ERROR
    }

    private static final Outcome[] OUTCOMES = Outcome.values();

    /** Reads a row as written by {@link #addTo}. */
    static Observation ofRow(long[] row) {
        return new Observation(row[0], row[1], OUTCOMES[(int) row[2]]);
    }

    static void addTo(LongTable table, long sentUs, long resolvedUs, Outcome outcome) {
        table.add(sentUs, resolvedUs, outcome.ordinal());
    }
}
