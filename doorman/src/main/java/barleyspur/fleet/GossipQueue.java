package barleyspur.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * The records to disseminate by gossip, at most one per member. Records with the fewest transmissions go first, and
 * among these the newest, so that a burst of changes does not delay a new one. Each record is transmitted a number of
 * times that grows with the logarithm of the fleet size (SWIM, section 4.1).
 */
final class GossipQueue {

    private static final int TRANSMISSION_FACTOR = 4;

    private static final class QueuedRecord {
        final MembershipRecord record;
        final long insertionOrder;
        int transmissions;

        QueuedRecord(MembershipRecord record, long insertionOrder) {
            this.record = record;
            this.insertionOrder = insertionOrder;
        }
    }

    private final Map<String, QueuedRecord> byName = new HashMap<>();
    private final TreeSet<QueuedRecord> queue =
            new TreeSet<>(Comparator.<QueuedRecord>comparingInt(i -> i.transmissions)
                    .thenComparing(Comparator.<QueuedRecord>comparingLong(i -> i.insertionOrder)
                            .reversed()));
    private long nextInsertionOrder;

    boolean isEmpty() {
        return queue.isEmpty();
    }

    /** Queues a record, replacing an older one of the same member. */
    void add(MembershipRecord record) {
        QueuedRecord item = new QueuedRecord(record, nextInsertionOrder++);
        QueuedRecord replaced = byName.put(record.name(), item);
        if (replaced != null) {
            queue.remove(replaced);
        }
        queue.add(item);
    }

    void clear() {
        byName.clear();
        queue.clear();
    }

    /**
     * Adds queued records to {@code records} while they fit in {@code maxBytes}, and counts a transmission for each.
     * Records that have reached the number of transmissions for a fleet of {@code memberCount} leave the queue.
     */
    void fill(List<MembershipRecord> records, int maxBytes, int memberCount) {
        int maxTransmissions = TRANSMISSION_FACTOR * Math.max(1, (int) Math.ceil(Math.log10(memberCount + 1.0)));
        int bytesLeft = maxBytes;
        List<QueuedRecord> selected = new ArrayList<>();
        for (QueuedRecord item : queue) {
            int recordBytes = DatagramSizes.maxBytes(item.record);
            if (recordBytes > bytesLeft) {
                break;
            }
            bytesLeft -= recordBytes;
            selected.add(item);
        }
        for (QueuedRecord item : selected) {
            if (!containsMember(records, item.record.name())) {
                records.add(item.record);
            }
            queue.remove(item);
            if (++item.transmissions < maxTransmissions) {
                queue.add(item);
            } else {
                byName.remove(item.record.name());
            }
        }
    }

    private static boolean containsMember(List<MembershipRecord> records, String name) {
        for (MembershipRecord record : records) {
            if (record.name().equals(name)) {
                return true;
            }
        }
        return false;
    }
}
