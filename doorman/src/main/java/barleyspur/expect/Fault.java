package barleyspur.expect;

/**
 * Something that happens to the fleet in a scenario.
 *
 * @param kind   what
 * @param nodeId   the box it happens to; of a station's link, any box of that station; -1 for the whole fleet
 * @param atMs   when, from the scenario's start
 * @param listDelayMs how long after that the doormans' list tells it, for those kinds that a list tells
 * @param durationMs  for how long, for those kinds that end
 * @param magnitude   how much: times slower, share of failures, how far a list lags in ms, the purged object
 */
public record Fault(Kind kind, long nodeId, double atMs, double listDelayMs, double durationMs, double magnitude) {

    /** What can happen. */
    public enum Kind {
        /** It finishes its work and wants no more; the list tells. */
        DRAIN("drain", true),
        /** A drain that is taken back. */
        RETURN("return", true),
        /** Its process ends, with what is open there. */
        GONE("gone", true),
        /** It ends and starts anew, cold and empty, as the same box. */
        RESTART("restart", true),
        /** It ends, and a new box with an id of its own starts in its place. */
        REPLACE("replace", true),
        /** The list leaves it out though it runs. */
        MISSING("missing", true),
        /** It takes requests and answers none. */
        HANG("hang", false),
        /** It takes {@code size} times as long. */
        SLOW("slow", false),
        /** It turns all away. */
        FULL("full", false),
        /** It fails a share {@code size} of what it is asked. */
        FAIL("fail", false),
        /** Its station's link brings nothing in. */
        LINK("link", false),
        /** The list runs {@code size} ms further behind. */
        STALE("stale", false),
        /** The object whose number is {@code size} is purged. */
        PURGE("purge", true);

        private final String labelText;
        private final boolean reportedByList;

        Kind(String word, boolean told) {
            this.labelText = word;
            this.reportedByList = told;
        }

        /** As expectation files name it. */
        public String label() {
            return labelText;
        }

        /** The size where none is said: times slower, share of failures, lag in ms, object. */
        public double defaultMagnitude() {
            return switch (this) {
                case SLOW -> 6;
                case FAIL -> 0.7;
                case STALE -> 5_000;
                case PURGE -> 1;
                default -> 0;
            };
        }

        /** Whether the command channel tells it. */
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
