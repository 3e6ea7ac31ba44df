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
            double timeMs,
            int process,
            int slot,
            String kind,
            long version,
            String member,
            long generation,
            long nonce,
            long incarnation,
            String state,
            String reason) {}

    private record Key(long life, long nonce, long incarnation) {
        boolean isOlderThan(Key other) {
            return life != other.life
                    ? life < other.life
                    : nonce != other.nonce ? nonce < other.nonce : incarnation < other.incarnation;
        }
    }

    private static final class ProcessHistory {
        long version;
        final Map<String, Key> keyByMember = new HashMap<>();
    }

    private final Map<Integer, ProcessHistory> historyByProcess = new TreeMap<>();
    private final List<ReportedChange> changes = new ArrayList<>();
    private final List<String> foundViolations = new ArrayList<>();
    private final boolean keepChanges;

    /** @param keepChanges whether all that is told is kept, for a report */
    MembershipMonitor(boolean keepChanges) {
        this.keepChanges = keepChanges;
    }

    void onChange(ReportedChange change) {
        ProcessHistory history = historyByProcess.computeIfAbsent(change.process, p -> new ProcessHistory());
        if (change.version != history.version + 1) {
            addViolation("changes in order, once", change, "version " + change.version + " after " + history.version);
        }
        history.version = change.version;
        if (change.member != null) {
            Key key = new Key(change.generation, change.nonce, change.incarnation);
            Key previous = history.keyByMember.put(change.member, key);
            if (previous != null && key.isOlderThan(previous)) {
                addViolation("nothing comes back from the dead", change, key + " after " + previous);
            }
        }
        if (keepChanges) {
            changes.add(change);
        }
    }

    private void addViolation(String promise, ReportedChange change, String detail) {
        if (foundViolations.size() < 20) {
            foundViolations.add(String.format(
                    "%s: at %.0f ms process %d in slot %d: %s of %s: %s",
                    promise, change.timeMs, change.process, change.slot, change.kind, change.member, detail));
        }
    }

    void addViolation(String text) {
        foundViolations.add(text);
    }

    List<String> violations() {
        return foundViolations;
    }

    List<ReportedChange> allChanges() {
        return changes;
    }
}
