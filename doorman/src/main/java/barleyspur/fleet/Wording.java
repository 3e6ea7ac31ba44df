package barleyspur.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/** What the parts of one membership share: the time, what this process says of itself, the others, and the way out. */
final class Wording {

    final Times times;
    final SplittableRandom random;
    final Roster roster;
    final NewsQueue news = new NewsQueue();
    private final Consumer<Action> out;
    double now;
    /** When anybody was last heard. */
    double heardMs;

    Saying self;
    /** Numbers of pings and comparisons; starts at random so that an answer to an earlier life matches none. */
    private long number;
    /** How much this process doubts itself: 0 is well (Lifeguard's local health). */
    int doubts;

    static final int MOST_DOUBTS = 3;

    Wording(Times times, long seed, Consumer<Action> out) {
        this.times = times;
        this.random = new SplittableRandom(seed);
        this.roster = new Roster(random);
        this.out = out;
        this.number = random.nextLong() >>> 16;
    }

    long nextNumber() {
        return ++number;
    }

    int members() {
        return roster.listed().size() + 1;
    }

    void doubt(int change) {
        doubts = Math.max(0, Math.min(MOST_DOUBTS, doubts + change));
    }

    double stretched(double ms) {
        return ms * (1 + doubts);
    }

    void emit(Action action) {
        out.accept(action);
    }

    /**
     * Sends a message with as much news as fits. Whoever is not held alive here is told so first, so that it can say
     * otherwise (Lifeguard's buddy messages).
     */
    void send(Entry to, Message message) {
        send(to.saying.about().address(), message, against(to));
    }

    /** What is said against somebody who is not held alive. */
    static List<Saying> against(Entry e) {
        return e != null && e.saying.standing() != Standing.ALIVE ? List.of(e.saying) : List.of();
    }

    void send(String address, Message message, List<Saying> first) {
        List<Saying> told = new ArrayList<>(first);
        int left = Sizes.left(self, message);
        for (Saying s : first) {
            left -= Sizes.of(s);
        }
        news.take(told, left, members());
        exactly(address, message, told);
    }

    /** Sends this and nothing else. */
    void exactly(String address, Message message, List<Saying> told) {
        emit(new Action.Send(address, new Datagram(self, roster.digest(), message, List.copyOf(told))));
    }
}
