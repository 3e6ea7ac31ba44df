package barleyspur.doorman;

import java.util.List;

/** Receives the commands that arrive on the command channel. */
public interface Commands {

    /** Handles a list of nodes: all nodes if {@code full}, otherwise only those that have changed. */
    void listed(boolean whole, List<NodeListing> listings);

    /** Handles the purge of one object; {@code purgedAtMs} is a Unix timestamp. */
    void purgedObject(long object, double whenMs);

    /** Handles the purge of a group of objects; {@code purgedAtMs} is a Unix timestamp. */
    void purgedGroup(int group, double whenMs);
}
