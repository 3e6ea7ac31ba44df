package barleyspur.expect;

/**
 * A client's first try; further ones follow by themselves, as clients do.
 *
 * @param number   its place among the scenario's requests, which stays when others are left out
 * @param atMs     when it comes, from the scenario's start
 * @param doorman  to which doorman
 * @param category its class, by place
 * @param object   what it asks for
 * @param set      the object set it was drawn from: {@code hot}, {@code ordinary} or {@code once}
 * @param part     the part of the object
 * @param group    the object's group
 * @param sizeKb   the size of the part
 * @param remainingMs how long the client waits for this try
 * @param leavesMs when the client leaves by itself, from the start of the try; 0: it doesn't
 */
public record Ask(
        int number,
        double atMs,
        int doorman,
        int category,
        long object,
        String set,
        int part,
        int group,
        double sizeKb,
        double remainingMs,
        double leavesMs) {}
