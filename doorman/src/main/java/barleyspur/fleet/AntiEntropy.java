package barleyspur.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * Anti-entropy between views, and the search for members that are missing from this one. Exchanges bucket digests with
 * a member whose view digest differs, and sends the records of the buckets that differ. Pings seeds and former members
 * that are not listed, so that the parts of a partitioned fleet find each other without an operator: over the whole
 * fleet about three times for each of them in a search interval.
 */
final class AntiEntropy {

    /** The most datagrams with records that are sent in reply to one digest exchange. */
    private static final int MAX_REPLY_DATAGRAMS = 16;

    private static final double FLEET_ATTEMPTS_PER_CANDIDATE = 3;
    private static final double SEARCH_INTERVAL_PERIODS = 2;
    private static final double ISOLATED_SEARCH_INTERVAL_PERIODS = 0.4;
    /** A difference that has lasted this long starts an exchange even while the view keeps changing. */
    private static final double FORCED_COMPARE_PERIODS = 5;
    /**
     * The most digest exchanges answered in a period, so that many members that join at once don't overload one member.
     */
    private static final int MAX_REPLIES_PER_PERIOD = 8;

    private final ProtocolContext context;
    private final List<String> seeds;
    private double viewChangedMs = Double.NEGATIVE_INFINITY;
    private double lastComparedMs = Double.NEGATIVE_INFINITY;
    private double nextSearchMs;
    private double replyWindowStartMs = Double.NEGATIVE_INFINITY;
    private int repliesInWindow;

    AntiEntropy(ProtocolContext context, List<String> seeds) {
        this.context = context;
        this.seeds = List.copyOf(seeds);
    }

    void start() {
        nextSearchMs = context.nowMs;
        lastComparedMs = Double.NEGATIVE_INFINITY;
    }

    double nextTickMs() {
        return nextSearchMs;
    }

    /** Records a change of the view. Differences right after it are likely to be resolved by gossip. */
    void onViewChanged() {
        viewChangedMs = context.nowMs;
    }

    void tick(boolean inDoubt) {
        if (context.nowMs < nextSearchMs) {
            return;
        }
        double periodMs = context.timings.periodMs();
        boolean isolated = inDoubt || context.memberTable.listed().isEmpty();
        nextSearchMs = context.nowMs
                + periodMs
                        * (isolated ? ISOLATED_SEARCH_INTERVAL_PERIODS : SEARCH_INTERVAL_PERIODS)
                        * (0.75 + context.random.nextDouble() / 2);
        List<String> candidates = candidates();
        if (candidates.isEmpty()) {
            return;
        }
        double expectedAttempts = isolated
                ? Math.min(3, candidates.size())
                : Math.min(1, FLEET_ATTEMPTS_PER_CANDIDATE * candidates.size() / context.memberCount());
        for (int i = 0; i < Math.max(1, (int) expectedAttempts); i++) {
            if (context.random.nextDouble() < expectedAttempts) {
                String address = candidates.remove(context.random.nextInt(candidates.size()));
                context.sendExact(address, new Message.Ping(context.nextSequence(), ""), List.of());
            }
        }
    }

    /** Addresses at which unlisted members may be reached: seeds that no listed member uses, and former members. */
    private List<String> candidates() {
        List<String> candidates = new ArrayList<>();
        if (!seeds.isEmpty() || context.memberTable.rememberedCount() > 0) {
            for (String seed : seeds) {
                if (!seed.equals(context.self.metadata().address()) && !isListed(seed)) {
                    candidates.add(seed);
                }
            }
            for (MemberEntry entry : context.memberTable.entries()) {
                String address = entry.record.metadata().address();
                if (!entry.listed && !candidates.contains(address)) {
                    candidates.add(address);
                }
            }
        }
        return candidates;
    }

    private boolean isListed(String address) {
        for (MemberEntry entry : context.memberTable.listed()) {
            if (entry.record.metadata().address().equals(address)) {
                return true;
            }
        }
        return false;
    }

    /** Starts a digest exchange with a member whose view digest differs, unless one was started recently. */
    void onDigest(MembershipRecord sender, long digest, boolean inDoubt) {
        double periodMs = context.timings.periodMs();
        if (digest == context.memberTable.digest()) {
            return;
        }
        double minIntervalMs = inDoubt ? context.timings.gossipIntervalMs() : periodMs;
        boolean unchanged = inDoubt || context.nowMs - viewChangedMs >= periodMs;
        if (context.nowMs - lastComparedMs >= minIntervalMs && unchanged
                || context.nowMs - lastComparedMs >= FORCED_COMPARE_PERIODS * periodMs) {
            lastComparedMs = context.nowMs;
            context.sendExact(
                    sender.metadata().address(),
                    new Message.DigestExchange(context.nextSequence(), context.memberTable.bucketDigests(), true),
                    List.of());
        }
    }

    void onDigestExchange(MembershipRecord sender, Message.DigestExchange exchange) {
        if (exchange.bucketDigests().length != MemberTable.BUCKET_COUNT) {
            return;
        }
        if (context.nowMs - replyWindowStartMs >= context.timings.periodMs()) {
            replyWindowStartMs = context.nowMs;
            repliesInWindow = 0;
        }
        if (repliesInWindow++ >= MAX_REPLIES_PER_PERIOD) {
            return;
        }
        String address = sender.metadata().address();
        if (exchange.replyRequested()) {
            context.sendExact(
                    address,
                    new Message.DigestExchange(exchange.sequence(), context.memberTable.bucketDigests(), false),
                    List.of());
        }
        List<MembershipRecord> differing = new ArrayList<>();
        for (MemberEntry entry : context.memberTable.entries()) {
            if (entry.reason != ChangeReason.STOOD_STILL
                    && !entry.name.equals(sender.name())
                    && context.memberTable.isInDifferingBucket(entry.nameHash, exchange.bucketDigests())) {
                differing.add(entry.record);
            }
        }
        if (context.memberTable.isInDifferingBucket(MemberTable.hash(context.self.name()), exchange.bucketDigests())) {
            differing.add(context.self);
        }
        sendRecords(address, differing);
    }

    private void sendRecords(String address, List<MembershipRecord> records) {
        // Starts at a random offset, so that a fleet too large for one reply is covered by several.
        int offset = records.isEmpty() ? 0 : context.random.nextInt(records.size());
        Message gossip = new Message.Gossip();
        List<MembershipRecord> batch = new ArrayList<>();
        int bytesLeft = DatagramSizes.gossipBytesLeft(context.self, gossip);
        int datagramsSent = 0;
        for (int i = 0; i < records.size() && datagramsSent < MAX_REPLY_DATAGRAMS; i++) {
            MembershipRecord record = records.get((offset + i) % records.size());
            int recordBytes = DatagramSizes.maxBytes(record);
            if (recordBytes > bytesLeft) {
                context.sendExact(address, gossip, batch);
                datagramsSent++;
                batch = new ArrayList<>();
                bytesLeft = DatagramSizes.gossipBytesLeft(context.self, gossip);
            }
            batch.add(record);
            bytesLeft -= recordBytes;
        }
        if (!batch.isEmpty() && datagramsSent < MAX_REPLY_DATAGRAMS) {
            context.sendExact(address, gossip, batch);
        }
    }
}
