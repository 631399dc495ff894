package petrelplank.routing;

/**
 * How an attempt ended.
 *
 * @param request the request's id
 * @param attempt the attempt's number, from 0
 * @param status how it ended
 * @param latencyUs time since it was sent
 * @param settled the request has its final answer
 * @param note what is told of the copy or the fill
 * @param sourceWaitUs time to the source's first byte or failure; 0 when not told
 * @param load the server's load report; null when there is none
 * @param sizeKb size of what came; 0 when not told
 */
public record Outcome(
        String request,
        int attempt,
        Status status,
        long latencyUs,
        boolean settled,
        Note note,
        long sourceWaitUs,
        double[] load,
        double sizeKb) {}
