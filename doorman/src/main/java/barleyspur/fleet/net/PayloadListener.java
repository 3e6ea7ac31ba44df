package barleyspur.fleet.net;

import barleyspur.fleet.MembershipRecord;
import java.util.Set;

/** Another part of the program whose small messages ride on a fleet's datagrams. All calls come on the event loop. */
public interface PayloadListener {

    /** This process has its address: from now on others reach it, and it them. */
    void onStart();

    /** What a member sent. */
    void onPayload(MembershipRecord sender, byte[] payload);

    /** Where the others of the view are, after each change: a hint, no more. */
    void onPeersChanged(Set<String> addresses);

    /** This member is to leave soon, and serves until then. */
    void onLeavePending();

    /** This member leaves now. */
    void onLeave();
}
