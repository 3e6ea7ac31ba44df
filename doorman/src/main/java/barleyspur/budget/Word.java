package barleyspur.budget;

import java.util.List;

/** What two doormans say to each other about budgets. {@code terms} is the digest of what they have agreed on. */
public sealed interface Word {

    /**
     * Asks a voter for its promise.
     *
     * @param ballot of this candidacy, drawn anew for each
     * @param number of this ask, so that the answer tells when it was sent
     */
    record VoteAsk(long terms, long ballot, long number) implements Word {}

    /** A voter's answer; {@code promised} is the address of whom it has promised to, or empty. */
    record Vote(long ballot, long number, boolean yes, String promised) implements Word {}

    /** The candidate or divider of this ballot will never act on it again. */
    record Release(long ballot) implements Word {}

    /**
     * A doorman reports what it holds and asks for what it wants.
     *
     * @param heard the term of the divider that it last heard: shows one that it was sent after that began
     * @param atMs  the asker's own clock, of which only the rate counts
     */
    record Ask(long terms, long heard, double atMs, List<Claim> claims) implements Word {}

    /**
     * One budget's part of an ask.
     *
     * @param number  of the ask: rises for each budget within a process's life
     * @param took    of all grants with numbers up to this none will be used but for {@code held}
     * @param term    the ballot under which what is held was granted
     * @param held    what it may use now beyond its floor; 0 where that has run out
     * @param using   places in use, or units spent
     * @param wants   what it could use beyond its floor
     * @param whole   what it takes the whole for
     * @param opening of an amount: which one what is held belongs to
     * @param leftMs  how long what is held lasts
     */
    record Claim(
            String budget,
            long number,
            long took,
            long term,
            long held,
            long using,
            long wants,
            double weight,
            long whole,
            long opening,
            double leftMs) {}

    /** The divider's answer to an ask. */
    record Grants(long terms, long term, List<Grant> grants) implements Word {}

    /** A share: {@code amount} for {@code forMs} from when the ask of that number was sent. */
    record Grant(String budget, long number, long amount, double forMs, long opening) {}

    /** Not the divider: ask there, or, where it is empty, another voter. */
    record Elsewhere(String address) implements Word {}
}
