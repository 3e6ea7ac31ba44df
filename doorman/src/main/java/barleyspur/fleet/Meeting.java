package barleyspur.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * Makes views equal, and finds those who are not in this one: compares digests of buckets with whoever has another
 * digest and sends what is known of the buckets that differ; tries seeds and remembered members, about three times a
 * period for each over the whole fleet, so that parts that were cut off find each other without an operator.
 */
final class Meeting {

    /** Datagrams that one comparison may cause. */
    private static final int MOST_DATAGRAMS = 16;

    private static final double TRIED_EACH = 3;
    private static final double SEARCH_PERIODS = 2;
    private static final double SEARCH_ALONE_PERIODS = 0.4;
    /** A difference that lasts for so long is looked into, however much is going on. */
    private static final double LONG_PERIODS = 5;
    /** Comparisons that are answered in a period, so that many newcomers at once don't drown one helper. */
    private static final int MOST_ANSWERS = 8;

    private final Wording w;
    private final List<String> seeds;
    private double changedMs = Double.NEGATIVE_INFINITY;
    private double comparedMs = Double.NEGATIVE_INFINITY;
    private double searchMs;
    private double answersSinceMs = Double.NEGATIVE_INFINITY;
    private int answers;

    Meeting(Wording w, List<String> seeds) {
        this.w = w;
        this.seeds = List.copyOf(seeds);
    }

    void start() {
        searchMs = w.now;
        comparedMs = Double.NEGATIVE_INFINITY;
    }

    double dueMs() {
        return searchMs;
    }

    /** The view has changed: what differs now is likely to be on its way. */
    void changed() {
        changedMs = w.now;
    }

    void tick(boolean inDoubt) {
        if (w.now < searchMs) {
            return;
        }
        double period = w.times.periodMs();
        boolean alone = inDoubt || w.roster.listed().isEmpty();
        searchMs =
                w.now + period * (alone ? SEARCH_ALONE_PERIODS : SEARCH_PERIODS) * (0.75 + w.random.nextDouble() / 2);
        List<String> candidates = candidates();
        if (candidates.isEmpty()) {
            return;
        }
        double wanted =
                alone ? Math.min(3, candidates.size()) : Math.min(1, TRIED_EACH * candidates.size() / w.members());
        for (int i = 0; i < Math.max(1, (int) wanted); i++) {
            if (w.random.nextDouble() < wanted) {
                String address = candidates.remove(w.random.nextInt(candidates.size()));
                w.exactly(address, new Message.Ping(w.nextNumber(), ""), List.of());
            }
        }
    }

    /** Where somebody may be who is not in the view: seeds that nobody of it has, and who was there before. */
    private List<String> candidates() {
        List<String> candidates = new ArrayList<>();
        if (!seeds.isEmpty() || w.roster.remembered() > 0) {
            for (String seed : seeds) {
                if (!seed.equals(w.self.about().address()) && !isListed(seed)) {
                    candidates.add(seed);
                }
            }
            for (Entry e : w.roster.known()) {
                String address = e.saying.about().address();
                if (!e.listed && !candidates.contains(address)) {
                    candidates.add(address);
                }
            }
        }
        return candidates;
    }

    private boolean isListed(String address) {
        for (Entry e : w.roster.listed()) {
            if (e.saying.about().address().equals(address)) {
                return true;
            }
        }
        return false;
    }

    /** Somebody told its view's digest. */
    void onDigest(Saying sender, long digest, boolean inDoubt) {
        double period = w.times.periodMs();
        if (digest == w.roster.digest()) {
            return;
        }
        double wait = inDoubt ? w.times.roundMs() : period;
        boolean quiet = inDoubt || w.now - changedMs >= period;
        if (w.now - comparedMs >= wait && quiet || w.now - comparedMs >= LONG_PERIODS * period) {
            comparedMs = w.now;
            w.exactly(
                    sender.about().address(), new Message.Compare(w.nextNumber(), w.roster.buckets(), true), List.of());
        }
    }

    void onCompare(Saying sender, Message.Compare theirs) {
        if (theirs.buckets().length != Roster.BUCKETS) {
            return;
        }
        if (w.now - answersSinceMs >= w.times.periodMs()) {
            answersSinceMs = w.now;
            answers = 0;
        }
        if (answers++ >= MOST_ANSWERS) {
            return;
        }
        String address = sender.about().address();
        if (theirs.asks()) {
            w.exactly(address, new Message.Compare(theirs.number(), w.roster.buckets(), false), List.of());
        }
        List<Saying> differ = new ArrayList<>();
        for (Entry e : w.roster.known()) {
            if (e.why != Why.STOOD_STILL
                    && !e.name.equals(sender.name())
                    && w.roster.differs(e.nameHash, theirs.buckets())) {
                differ.add(e.saying);
            }
        }
        if (w.roster.differs(Roster.hash(w.self.name()), theirs.buckets())) {
            differ.add(w.self);
        }
        send(address, differ);
    }

    private void send(String address, List<Saying> sayings) {
        // From a random place on, so that a fleet too large for one answer comes over in several.
        int from = sayings.isEmpty() ? 0 : w.random.nextInt(sayings.size());
        Message news = new Message.News();
        List<Saying> pack = new ArrayList<>();
        int left = Sizes.left(w.self, news);
        int sent = 0;
        for (int i = 0; i < sayings.size() && sent < MOST_DATAGRAMS; i++) {
            Saying s = sayings.get((from + i) % sayings.size());
            int size = Sizes.of(s);
            if (size > left) {
                w.exactly(address, news, pack);
                sent++;
                pack = new ArrayList<>();
                left = Sizes.left(w.self, news);
            }
            pack.add(s);
            left -= size;
        }
        if (!pack.isEmpty() && sent < MOST_DATAGRAMS) {
            w.exactly(address, news, pack);
        }
    }
}
