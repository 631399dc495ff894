package petrelplank.record;

/**
 * An event with its position in an incarnation. A gap in the numbers is a loss; a number that comes twice is the same
 * event.
 *
 * @param proxy the proxy's name
 * @param incarnation a random number, new with each start of the proxy
 * @param number consecutive in an incarnation, from 0
 * @param unixUs when, by the proxy's clock
 * @param event the event
 */
@StoredName("Entry")
public record Entry(
        @StoredName("front") String proxy,
        @StoredName("life") long incarnation,
        @StoredName("number") long number,
        @StoredName("unixUs") long unixUs,
        @StoredName("event") Event event) {}
