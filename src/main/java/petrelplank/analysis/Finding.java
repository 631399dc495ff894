package petrelplank.analysis;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A trouble that the records show.
 *
 * @param kind which
 * @param servers servers, fronts or branches that it was at
 * @param fromUs when it began, as near as the evidence tells
 * @param toUs when it ended; the records' end where they show no end
 * @param slackUs how far the end may be off, by the evidence
 * @param worth what was asked and not earned meanwhile, over what is usual; troubles at one time share it
 * @param evidence what it rests on, a line each
 */
public record Finding(
        Kind kind, List<String> servers, long fromUs, long toUs, long slackUs, double worth, List<String> evidence) {
    /** Kinds of trouble. */
    public enum Kind {
        /** A cache is listed as up and answers nothing. */
        SILENT_CACHE("silent-cache"),
        /** A hub cache is listed as up and answers nothing. */
        SILENT_HUB("silent-hub"),
        /** A server fails requests at once. */
        FAST_FAILURES("fast-failures"),
        /** A large part of the groups was purged at once. */
        PURGE("purge"),
        /** One object draws a large part of the bytes. */
        HOT_OBJECT("hot-object"),
        /** The central stock takes a multiple of its usual time. */
        SLOW_STOCK("slow-stock"),
        /** The central stock answers no call well. */
        STOCK_STOPPED("stock-stopped"),
        /** A front began a new life. */
        RESTART("restart"),
        /** A branch's link has far more transfers than fit. */
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

    /**
     * The finding as a tree for JSON.
     *
     * @return the tree
     */
    public Map<String, Object> tree() {
        Map<String, Object> t = new LinkedHashMap<>();
        t.put("kind", kind.label());
        t.put("servers", servers);
        t.put("fromUs", fromUs);
        t.put("toUs", toUs);
        t.put("slackUs", slackUs);
        t.put("worth", worth);
        t.put("evidence", evidence);
        return t;
    }
}
