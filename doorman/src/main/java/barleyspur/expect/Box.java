package barleyspur.expect;

/**
 * A box as the deployment describes it: a cache, a district cache or the head office.
 *
 * @param uid                 name, unique in the deployment
 * @param nodeId              node id by which doormans know it
 * @param zoneIndex           index of its station in the deployment's station names
 * @param modelIndex          index of its model in the deployment's model names
 * @param cell                number of the group of boxes that deduplicate repeated requests together
 * @param concurrentTransfers number of concurrent transfers to clients that its link can carry, over 0
 */
public record Box(String uid, long nodeId, int zoneIndex, int modelIndex, int cell, double concurrentTransfers) {}
