package petrelplank.record;

/**
 * An event with its place: a gap in the numbers of a life is a loss, a number that comes twice is the same event.
 *
 * @param proxy the front's name
 * @param incarnation a random number, new with each start of the front
 * @param number from 0 in each life, without gaps
 * @param unixUs when, by the front's clock
 * @param event what
 */
@StoredName("Entry")
public record Entry(
        @StoredName("front") String proxy,
        @StoredName("life") long incarnation,
        @StoredName("number") long number,
        @StoredName("unixUs") long unixUs,
        @StoredName("event") Event event) {}
