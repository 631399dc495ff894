package petrelplank.record;

/**
 * An event with its place: a gap in the numbers of a life is a loss, a number that comes twice is the same event.
 *
 * @param front the front's name
 * @param life a random number, new with each start of the front
 * @param number from 0 in each life, without gaps
 * @param unixUs when, by the front's clock
 * @param event what
 */
@StoredName("Entry")
public record Entry(
        @StoredName("front") String front,
        @StoredName("life") long life,
        @StoredName("number") long number,
        @StoredName("unixUs") long unixUs,
        @StoredName("event") Event event) {}
