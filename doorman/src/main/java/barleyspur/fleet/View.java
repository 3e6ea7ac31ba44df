package barleyspur.fleet;

import java.util.List;

/**
 * What a doorman knows of its fleet at one moment.
 *
 * @param version of the view: rises by one with each {@link Change}
 * @param digest  the same in two views exactly where their members, incarnations and standings are (by 64 bits)
 * @param inDoubt the process has just started, or stood still: others may have given it up meanwhile
 * @param nameGivenUp a newer process goes by this name
 * @param members in the order of their names, this one among them
 */
public record View(
        long version, long digest, boolean inDoubt, boolean nameGivenUp, MembershipRecord self, List<Member> members) {

    /**
     * One member, or one that was.
     *
     * @param stateSinceMs when it came to this standing here, on this process's own clock
     * @param lastHeardMs when it was last heard of by a datagram of its own, or negative infinity
     * @param source    who told
     */
    public record Member(
            MembershipRecord record,
            boolean listed,
            double stateSinceMs,
            double lastHeardMs,
            ChangeReason reason,
            String source) {}

    /** How many are members. */
    public long memberCount() {
        return members.stream().filter(Member::listed).count();
    }
}
