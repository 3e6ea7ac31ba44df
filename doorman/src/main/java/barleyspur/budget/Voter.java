package barleyspur.budget;

/**
 * Promises its vote to one ballot at a time until the promise expires. Keeps no state over a restart, so a voter that
 * has just started abstains until every promise that it may have made before must have expired.
 */
final class Voter {

    private final Shared s;
    private final double silentUntilMs;
    private long ballot;
    private String promised = "";
    private double untilMs = Double.NEGATIVE_INFINITY;
    private long released;
    private boolean left;

    Voter(Shared s) {
        this.s = s;
        silentUntilMs = s.now + s.silenceMs();
    }

    boolean isSilent() {
        return s.now < silentUntilMs;
    }

    /** Returns the address that the vote is promised to, or empty. */
    String promised() {
        return s.now < untilMs ? promised : "";
    }

    /** Returns the time since which, or from which on, the vote is free. */
    double freeSinceMs() {
        return Math.max(silentUntilMs, untilMs);
    }

    void onAsk(String from, Word.VoteAsk ask) {
        if (left || isSilent() || ask.terms() != s.digest || ask.ballot() == released) {
            return;
        }
        boolean yes = s.now >= untilMs || ask.ballot() == ballot && from.equals(promised);
        if (yes) {
            ballot = ask.ballot();
            promised = from;
            untilMs = s.now + s.terms.termMs() * Terms.WAIT;
        }
        s.send(from, new Word.Vote(ask.ballot(), ask.number(), yes, promised()));
    }

    void onRelease(String from, Word.Release r) {
        released = r.ballot();
        if (r.ballot() == ballot && from.equals(promised)) {
            untilMs = Math.min(untilMs, s.now);
        }
    }

    void leave() {
        left = true;
    }
}
