package petrelplank.analysis;

import java.util.List;

/**
 * A fault that the records show.
 *
 * @param kind which
 * @param servers endpoints, proxies or zones that it was at
 * @param fromUs when it began, as near as the evidence tells
 * @param toUs when it ended; the records' end where they show no end
 * @param slackUs how far the end may be off, by the evidence
 * @param worth the priority weight that was asked and not earned meanwhile, over what is usual; faults at one time
 *     share it
 * @param evidence what it rests on, a line each
 */
public record Finding(
        Kind kind, List<String> servers, long fromUs, long toUs, long slackUs, double worth, List<String> evidence) {
    /** Kinds of fault. */
    public enum Kind {
        /** A cache is listed as up and answers nothing. */
        SILENT_CACHE("silent-cache"),
        /** A parent cache is listed as up and answers nothing. */
        SILENT_HUB("silent-hub"),
        /** An endpoint fails requests at once. */
        FAST_FAILURES("fast-failures"),
        /** A large part of the groups was purged at once. */
        PURGE("purge"),
        /** One object draws a large part of the bytes. */
        HOT_OBJECT("hot-object"),
        /** The origin takes a multiple of its usual time. */
        SLOW_STOCK("slow-stock"),
        /** The origin answers no call well. */
        STOCK_STOPPED("stock-stopped"),
        /** A proxy was started anew. */
        RESTART("restart"),
        /** A zone's link has far more transfers than fit. */
        CROWDED_LINK("crowded-link");

        private final String label;

        Kind(String label) {
            this.label = label;
        }

        /**
         * The name in JSON documents.
         *
         * @return words joined by hyphens
         */
        public String label() {
            return label;
        }
    }

    /** A finding whose end is known exactly, and whose cost is not known yet. */
    static Finding exact(Kind kind, List<String> servers, long fromUs, long toUs, String... evidence) {
        return withSlack(kind, servers, fromUs, toUs, 0, evidence);
    }

    /** A finding whose cost is not known yet. */
    static Finding withSlack(
            Kind kind, List<String> servers, long fromUs, long toUs, long slackUs, String... evidence) {
        return new Finding(kind, servers, fromUs, toUs, slackUs, 0, List.of(evidence));
    }

    Finding withWorth(double lostWorth) {
        return new Finding(kind, servers, fromUs, toUs, slackUs, lostWorth, evidence);
    }
}
