package barleyspur.expect;

/**
 * A client's request with its first try; the simulation generates the retries.
 *
 * @param index         index among the requests of the scenario, kept if other requests are removed
 * @param arrivalMs     arrival time since the start of the scenario
 * @param doormanIndex  index of the doorman that gets it
 * @param classIndex    index of its request class
 * @param objectId      the requested object
 * @param objectSet     the set that the object was drawn from: {@code hot}, {@code ordinary} or {@code once}
 * @param partIndex     the requested part of the object
 * @param groupId       the group of the object
 * @param sizeKb        size of the part
 * @param timeoutMs     how long the client waits for a try
 * @param leavesAfterMs time from the start of the first try until the client disconnects; 0: it doesn't
 */
public record ClientRequest(
        int index,
        double arrivalMs,
        int doormanIndex,
        int classIndex,
        long objectId,
        String objectSet,
        int partIndex,
        int groupId,
        double sizeKb,
        double timeoutMs,
        double leavesAfterMs) {}
