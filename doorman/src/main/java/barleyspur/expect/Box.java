package barleyspur.expect;

/**
 * One box as the fleet is described: a cache, a district cache or the head office.
 *
 * @param uid      its name, unique in the fleet
 * @param nodeId     its number at every doorman
 * @param zoneIndex     its station, by place in the site's names
 * @param modelIndex     its model, by place in the site's names
 * @param cell     the group of boxes that drop repeats together
 * @param concurrentTransfers     the transfers to clients that its link carries at once, over 0
 */
public record Box(String uid, long nodeId, int zoneIndex, int modelIndex, int cell, double concurrentTransfers) {}
