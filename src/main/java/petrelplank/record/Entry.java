package petrelplank.record;

/**
 * An event and its sequence number within one incarnation (one run) of a proxy. A gap in the sequence numbers means
 * that events were lost; two entries with the same number are copies of the same event.
 *
 * @param proxy the proxy's name
 * @param incarnation a random number that the proxy chooses at each start
 * @param number the sequence number within the incarnation, from 0
 * @param unixUs time of the event by the proxy's clock, in Unix microseconds
 * @param event the event
 */
@StoredName("Entry")
public record Entry(
        @StoredName("front") String proxy,
        @StoredName("life") long incarnation,
        @StoredName("number") long number,
        @StoredName("unixUs") long unixUs,
        @StoredName("event") Event event) {}
