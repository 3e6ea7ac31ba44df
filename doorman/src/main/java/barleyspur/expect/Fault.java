package barleyspur.expect;

/**
 * An event of a scenario that affects boxes, links or lists.
 *
 * @param nodeId      the affected box; for a station's link, any box of that station; -1 for the whole deployment
 * @param atMs        time since the start of the scenario
 * @param listDelayMs delay until the doormans' lists report the event, for kinds that are reported
 * @param durationMs  duration, for kinds that end by themselves
 * @param magnitude   slowdown factor, share of failures, lag of the list in ms or the purged object, depending on kind
 */
public record Fault(Kind kind, long nodeId, double atMs, double listDelayMs, double durationMs, double magnitude) {

    /** The kinds of events. */
    public enum Kind {
        /** The box finishes its work and wants no more; the list reports it. */
        DRAIN("drain", true),
        /** A drain is cancelled. */
        RETURN("return", true),
        /** The process of the box ends; its connections are reset. */
        GONE("gone", true),
        /** The process of the box ends and restarts under the same id, cold and without copies. */
        RESTART("restart", true),
        /** The process of the box ends, and a new box with an id of its own starts in its place. */
        REPLACE("replace", true),
        /** The list omits the box although it runs. */
        MISSING("missing", true),
        /** The box accepts requests and answers none. */
        HANG("hang", false),
        /** The box takes {@code magnitude} times as long. */
        SLOW("slow", false),
        /** The box rejects all requests. */
        FULL("full", false),
        /** The box fails a share {@code magnitude} of its requests. */
        FAIL("fail", false),
        /** Fills over the link of the box's station fail. */
        LINK("link", false),
        /** List updates are delayed by {@code magnitude} ms more. */
        STALE("stale", false),
        /** The object whose id is {@code magnitude} is purged. */
        PURGE("purge", true);

        private final String labelText;
        private final boolean reportedByList;

        Kind(String labelText, boolean reportedByList) {
            this.labelText = labelText;
            this.reportedByList = reportedByList;
        }

        /** The name in expectation files. */
        public String label() {
            return labelText;
        }

        /** The magnitude if a file gives none. */
        public double defaultMagnitude() {
            return switch (this) {
                case SLOW -> 6;
                case FAIL -> 0.7;
                case STALE -> 5_000;
                case PURGE -> 1;
                default -> 0;
            };
        }

        /** Whether doormans are notified of it: by a list update, or of a purge by a purge notice. */
        public boolean isReportedByList() {
            return reportedByList;
        }
    }

    @Override
    public String toString() {
        return kind.labelText + (nodeId < 0 ? "" : " of node " + nodeId) + " at " + Math.round(atMs) + " ms"
                + (kind.reportedByList
                        ? ", told after " + Math.round(listDelayMs) + " ms"
                        : " for " + Math.round(durationMs) + " ms");
    }
}
