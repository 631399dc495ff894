package petrelplank.routing;

/** What a router is told of servers, requests and attempts, and what it orders. */
public interface Events {
    /** How an attempt ended. */
    enum Status {
        /** Served. */
        OK,
        /** The server answered with an error; the request may have run. */
        ERROR,
        /** Turned away unseen, or its fill source refused or was not reached; it did not run. */
        FULL,
        /** No answer in the time allowed; it may have run or still run. */
        TIMEOUT,
        /** No connection was made; it did not run. */
        CONNECT_FAILED,
        /** The connection broke; it may have run. */
        RESET,
        /** Withdrawn by the router; it may have run. */
        CANCELLED,
        /** Never sent; it did not run. */
        MOOT,
        /** No copy that will do and none was filled; it did not run. */
        MISS;

        /**
         * Whether this status proves that the request did not run.
         *
         * @return true where nothing can have happened
         */
        public boolean neverRan() {
            return this == FULL || this == CONNECT_FAILED || this == MOOT || this == MISS;
        }
    }

    /** What the answer tells of a copy or a fill. */
    enum Note {
        /** Nothing is told. */
        NONE,
        /** The copy was there. */
        HIT,
        /** Filled from the source's copy. */
        FILLED,
        /** Filled by way of the origin. */
        FROM_ORIGIN,
        /** Joined a fill under way; on a miss: one is under way. */
        JOINED,
        /** Served from a copy past its fresh time. */
        OLD_COPY,
        /** The source refused. */
        SOURCE_REFUSED,
        /** The source was not reached, broke off or was too slow. */
        SOURCE_UNREACHABLE,
        /** The source has no copy. */
        SOURCE_LACKS,
        /** The cache has no place left for a fill. */
        NO_FILL_PLACE,
        /** The origin failed behind the parent. */
        ORIGIN_FAILED
    }

    /** Why a request is given up. */
    enum GivenUp {
        /** Too little of its time is left. */
        TIME,
        /** The origin was short, and its writes were shed: no longer done, kept for earlier records. */
        ORIGIN_SHORT,
        /** It has had all its attempts. */
        ATTEMPTS,
        /** An attempt may have run, and it may not run twice. */
        MAY_HAVE_RUN,
        /** The retry budget is used up, or its errors are its own. */
        NO_RETRY,
        /** No server may take it. */
        NO_SERVER,
        /** No fill may be made for it, and no cache holds it. */
        NO_FILL
    }

    /** The state of a listed server. */
    enum State {
        /** Running. */
        UP,
        /** Finishing its work; takes nothing new. */
        DRAINING,
        /** Removed. */
        GONE
    }

    /**
     * A server on the roster.
     *
     * @param id its id
     * @param zone the zone it stands in
     * @param kind its kind
     * @param cell its cell
     * @param state its state
     * @param weight see {@link Site.Weights}
     * @param startedUs when it last started; 0 for long ago
     */
    record Member(String id, String zone, String kind, int cell, State state, double weight, long startedUs) {}

    /**
     * A client's request.
     *
     * @param id its id
     * @param object the object asked for
     * @param part which part of it
     * @param group the group that the object belongs to
     * @param serviceClass the name of its class
     * @param deadlineUs when the client gives this try up
     * @param sizeKb size of the part; 0 when not told
     * @param write it is a write
     * @param retry the client marked it as a further try
     * @param tenant the tenant that it is counted for; null where none is told
     */
    record Request(
            String id,
            long object,
            long part,
            int group,
            String serviceClass,
            long deadlineUs,
            double sizeKb,
            boolean write,
            boolean retry,
            String tenant) {
        /** A request for which no tenant is told. */
        public Request(
                String id,
                long object,
                long part,
                int group,
                String serviceClass,
                long deadlineUs,
                double sizeKb,
                boolean write,
                boolean retry) {
            this(id, object, part, group, serviceClass, deadlineUs, sizeKb, write, retry, null);
        }
    }

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
    record Outcome(
            String request,
            int attempt,
            Status status,
            long latencyUs,
            boolean settled,
            Note note,
            long sourceWaitUs,
            double[] load,
            double sizeKb) {}

    /**
     * An attempt to send.
     *
     * @param server who is asked
     * @param source who supplies a miss; the server itself for nobody
     * @param rank rank of the copy, 1 to 3; 0 keeps nothing and changes nothing
     * @param maxAgeUs oldest copy that will do; 0 for the class's own limit
     * @param join join a fill under way
     * @param heldOnly the source gives only what it holds
     * @param renew an ageing copy is served and fetched anew behind
     * @param timeoutUs the attempt's time-out, more than 0
     */
    record Order(
            String server,
            String source,
            int rank,
            long maxAgeUs,
            boolean join,
            boolean heldOnly,
            boolean renew,
            long timeoutUs) {}
}
