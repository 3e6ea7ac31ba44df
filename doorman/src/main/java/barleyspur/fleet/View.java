package barleyspur.fleet;

import java.util.List;

/**
 * A snapshot of a doorman's view of its fleet.
 *
 * @param version     the version of the view: increases by one with each {@link Change}
 * @param digest      a 64-bit digest; equal for two views whose members, incarnations and states are equal
 * @param inDoubt     whether the view is unconfirmed after a start or a pause of this process, during which others may
 *                    have declared this process dead
 * @param nameGivenUp whether this process has given up its name to a newer process of the same name
 * @param self        the record of this process
 * @param members     current and former members sorted by name, this process included
 */
public record View(
        long version, long digest, boolean inDoubt, boolean nameGivenUp, MembershipRecord self, List<Member> members) {

    /**
     * A current or former member.
     *
     * @param listed       whether it is in the view
     * @param stateSinceMs when it entered its state in this view, on the clock of this process
     * @param lastHeardMs  when the last datagram from it was received, or negative infinity
     * @param reason       the reason for its last change
     * @param source       the name of the member from which its record was received
     */
    public record Member(
            MembershipRecord record,
            boolean listed,
            double stateSinceMs,
            double lastHeardMs,
            ChangeReason reason,
            String source) {}

    /** The number of members in the view. */
    public long memberCount() {
        return members.stream().filter(Member::listed).count();
    }
}
