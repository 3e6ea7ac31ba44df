package barleyspur.lab.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Judges what every process told of its view, as it came: that no older incarnation replaces a newer one and that
 * changes come once, in order; and notes verdicts, so that false ones are counted and times are known.
 */
final class MembershipMonitor {

    /** One change as a process told it. */
    record ReportedChange(
            double atMs,
            int process,
            int slot,
            String kind,
            long version,
            String member,
            long life,
            long nonce,
            long incarnation,
            String standing,
            String why) {}

    private record Key(long life, long nonce, long incarnation) {
        boolean under(Key other) {
            return life != other.life
                    ? life < other.life
                    : nonce != other.nonce ? nonce < other.nonce : incarnation < other.incarnation;
        }
    }

    private static final class ProcessHistory {
        long version;
        final Map<String, Key> keys = new HashMap<>();
    }

    private final Map<Integer, ProcessHistory> byProcess = new TreeMap<>();
    private final List<ReportedChange> told = new ArrayList<>();
    private final List<String> broken = new ArrayList<>();
    private final boolean keeps;

    /** @param keeps whether all that is told is kept, for a report */
    MembershipMonitor(boolean keeps) {
        this.keeps = keeps;
    }

    void told(ReportedChange t) {
        ProcessHistory seen = byProcess.computeIfAbsent(t.process, p -> new ProcessHistory());
        if (t.version != seen.version + 1) {
            broken("changes in order, once", t, "version " + t.version + " after " + seen.version);
        }
        seen.version = t.version;
        if (t.member != null) {
            Key key = new Key(t.life, t.nonce, t.incarnation);
            Key before = seen.keys.put(t.member, key);
            if (before != null && key.under(before)) {
                broken("nothing comes back from the dead", t, key + " after " + before);
            }
        }
        if (keeps) {
            told.add(t);
        }
    }

    private void broken(String promise, ReportedChange t, String detail) {
        if (broken.size() < 20) {
            broken.add(String.format(
                    "%s: at %.0f ms process %d in slot %d: %s of %s: %s",
                    promise, t.atMs, t.process, t.slot, t.kind, t.member, detail));
        }
    }

    void broken(String text) {
        broken.add(text);
    }

    List<String> broken() {
        return broken;
    }

    List<ReportedChange> all() {
        return told;
    }
}
