package barleyspur.lab.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Invariant monitor of the membership views. It checks the changes that each process reports as they come: no older
 * incarnation replaces a newer one, and changes come once and in order. It can keep the changes, so that false
 * positives are counted and detection times measured.
 */
final class MembershipMonitor {

    /**
     * A change of a process's view.
     *
     * @param kind  name of the type in {@code barleyspur.fleet.Change}
     * @param state of the member, or empty
     */
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

    /** Position of a member's record in the order of records. Violations print it in this form. */
    private record Key(long life, long nonce, long incarnation) {
        boolean isOlderThan(Key other) {
            return life != other.life
                    ? life < other.life
                    : nonce != other.nonce ? nonce < other.nonce : incarnation < other.incarnation;
        }
    }

    /** What a process has reported so far: the version of its view, and the last key of each member. */
    private static final class ProcessHistory {
        long version;
        final Map<String, Key> keyByMember = new HashMap<>();
    }

    private final Map<Integer, ProcessHistory> historyByProcess = new TreeMap<>();
    private final List<ReportedChange> changes = new ArrayList<>();
    private final List<String> foundViolations = new ArrayList<>();
    private final boolean keepChanges;

    /**
     * Creates a monitor.
     *
     * @param keepChanges whether to keep all changes, for a report
     */
    MembershipMonitor(boolean keepChanges) {
        this.keepChanges = keepChanges;
    }

    /** Checks a reported change. */
    void onChange(ReportedChange change) {
        ProcessHistory history = historyByProcess.computeIfAbsent(change.process, p -> new ProcessHistory());
        if (change.version != history.version + 1) {
            addViolation(
                    "changes come once and in order",
                    change,
                    "version " + change.version + " after " + history.version);
        }
        history.version = change.version;
        if (change.member != null) {
            Key key = new Key(change.generation, change.nonce, change.incarnation);
            Key previous = history.keyByMember.put(change.member, key);
            if (previous != null && key.isOlderThan(previous)) {
                addViolation("no older record replaces a newer one", change, key + " after " + previous);
            }
        }
        if (keepChanges) {
            changes.add(change);
        }
    }

    private void addViolation(String invariant, ReportedChange change, String detail) {
        if (foundViolations.size() < 20) {
            foundViolations.add(String.format(
                    "%s: at %.0f ms process %d in slot %d: %s of %s: %s",
                    invariant, change.timeMs, change.process, change.slot, change.kind, change.member, detail));
        }
    }

    /** Adds a violation that somebody else has found. */
    void addViolation(String text) {
        foundViolations.add(text);
    }

    /** Returns descriptions of all violations found so far. */
    List<String> violations() {
        return foundViolations;
    }

    /** Returns the changes kept so far; callers may clear the list. */
    List<ReportedChange> allChanges() {
        return changes;
    }
}
