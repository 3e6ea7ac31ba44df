package barleyspur.doorman;

import java.util.List;

/** What the command channel has to tell. */
public interface Commands {

    /** The list of nodes, whole or what has changed of it. */
    void listed(boolean whole, List<NodeListing> listings);

    /** An object was purged at a Unix time. */
    void purgedObject(long object, double whenMs);

    /** A group of objects was purged at a Unix time. */
    void purgedGroup(int group, double whenMs);
}
