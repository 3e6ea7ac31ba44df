package barleyspur.fleet.net;

import barleyspur.fleet.MembershipRecord;
import java.util.Set;

/**
 * A component that exchanges small payloads with its peers over the fleet's datagrams. Called on the event loop only.
 */
public interface PayloadListener {

    /** The datagram socket is bound: payloads can be sent and received from now on. */
    void onStart();

    /** Handles a payload that a member sent. */
    void onPayload(MembershipRecord sender, byte[] payload);

    /** Called after changes of the view with the addresses of the other members; only a hint. */
    void onPeersChanged(Set<String> addresses);

    /** This member will leave soon, and keeps serving until then. */
    void onLeavePending();

    /** This member leaves the fleet now. */
    void onLeave();
}
