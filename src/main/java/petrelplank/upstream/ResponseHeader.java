package petrelplank.upstream;

import java.util.List;
import petrelplank.proxy.UpstreamResponse;
import petrelplank.routing.AttemptStatus;
import petrelplank.upstream.MalformedResponseException.Reason;

/**
 * The header line of a response: request id, status word, fields and body length, separated by single spaces.
 *
 * @param id the id of the request
 * @param status how the attempt ended
 * @param notModified whether the client's copy is still current
 * @param fields the optional fields
 * @param bodyLength length of the body in bytes, without the CR LF that follows it
 */
record ResponseHeader(String id, AttemptStatus status, boolean notModified, ResponseFields fields, int bodyLength) {
    private static final int WORD_COUNT = 4;
    private static final String NOT_MODIFIED = "NOMOD";
    private static final int MAX_BODY_LENGTH_DIGITS = 9;

    /**
     * Decodes a header line.
     *
     * @param line the line without its CR LF
     * @param loadFieldNames names of the values in a load report, in the order in which {@link ResponseFields#load}
     *     returns them
     * @return the decoded header
     * @throws MalformedResponseException if the line is not a valid header
     */
    static ResponseHeader decode(String line, List<String> loadFieldNames) {
        String[] words = line.split(" ", -1);
        if (words.length != WORD_COUNT) {
            throw new MalformedResponseException(Reason.WRONG_WORD_COUNT, Integer.toString(words.length));
        }
        if (words[0].isEmpty()) {
            throw new MalformedResponseException(Reason.EMPTY_REQUEST_ID);
        }
        int bodyLength = parseBodyLength(words[3]);
        AttemptStatus status = parseStatus(words[1]);
        ResponseFields fields = ResponseFields.decode(words[2], loadFieldNames);
        return new ResponseHeader(words[0], status, words[1].equals(NOT_MODIFIED), fields, bodyLength);
    }

    /** Combines the header with the received body, which is empty if it was discarded, into the complete response. */
    UpstreamResponse withBody(byte[] body) {
        return new UpstreamResponse(
                id,
                status,
                notModified,
                fields.tag(),
                fields.cacheStatus(),
                fields.sourceWaitUs(),
                fields.bornMs(),
                fields.load(),
                bodyLength,
                body);
    }

    /** Maps a status word of the protocol to the status of the attempt. */
    private static AttemptStatus parseStatus(String word) {
        return switch (word) {
            case "ACK", NOT_MODIFIED, "READY" -> AttemptStatus.OK;
            case "NOENT" -> AttemptStatus.MISS;
            case "AGAIN" -> AttemptStatus.REJECTED;
            case "EIO", "AILING" -> AttemptStatus.ERROR;
            case "STALE" -> AttemptStatus.NOT_SENT;
            default -> throw new MalformedResponseException(Reason.UNKNOWN_STATUS);
        };
    }

    private static int parseBodyLength(String text) {
        if (!ResponseFields.isDigits(text, MAX_BODY_LENGTH_DIGITS)) {
            throw new MalformedResponseException(Reason.INVALID_BODY_LENGTH);
        }
        int length = Integer.parseInt(text);
        if (length > ResponseParser.MAX_BODY_BYTES) {
            throw new MalformedResponseException(Reason.INVALID_BODY_LENGTH);
        }
        return length;
    }
}
