package barleyspur.expect;

/**
 * One box as the fleet is described: a cache, a district cache or the head office.
 *
 * @param uid      its name, unique in the fleet
 * @param node     its number at every doorman
 * @param zone     its station, by place in the site's names
 * @param kind     its model, by place in the site's names
 * @param cell     the group of boxes that drop repeats together
 * @param size     the transfers to clients that its link carries at once, over 0
 */
public record Box(String uid, long node, int zone, int kind, int cell, double size) {}
