package barleyspur.doorman;

import java.util.List;

/** Receives the commands that arrive on the command channel. */
public interface CommandListener {

    /** Handles a list of nodes: all nodes if {@code full}, otherwise only those that have changed. */
    void onNodeList(boolean full, List<NodeListing> listings);

    /** Handles the purge of one object; {@code purgedAtMs} is a Unix timestamp. */
    void onObjectPurged(long object, double purgedAtMs);

    /** Handles the purge of a group of objects; {@code purgedAtMs} is a Unix timestamp. */
    void onGroupPurged(int group, double purgedAtMs);
}
