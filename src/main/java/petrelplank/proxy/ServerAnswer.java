package petrelplank.proxy;

import petrelplank.routing.Note;
import petrelplank.routing.Status;

/**
 * How a server answered.
 *
 * @param id the request's id
 * @param status how the attempt ended
 * @param still the client's copy is the one, and there are no bytes
 * @param tag the tag of the copy that it is about; null where none is told
 * @param note what is told of the copy or the fill
 * @param waitedUs time waited for the source
 * @param bornMs Unix millisecond at which the origin gave this copy out; 0 where it is not told
 * @param load the load report, in the order of the settings; null where there is none
 * @param body the bytes
 */
public record ServerAnswer(
        String id,
        Status status,
        boolean still,
        String tag,
        Note note,
        long waitedUs,
        long bornMs,
        double[] load,
        byte[] body) {
    private static final byte[] NOTHING = new byte[0];

    /**
     * An end that no server worded.
     *
     * @param id the request's id
     * @param status how the attempt ended
     * @return the answer
     */
    public static ServerAnswer ended(String id, Status status) {
        return new ServerAnswer(id, status, false, null, Note.NONE, 0, 0, null, NOTHING);
    }
}
