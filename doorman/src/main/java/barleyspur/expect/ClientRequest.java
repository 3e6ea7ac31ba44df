package barleyspur.expect;

/**
 * A client's first try; further ones follow by themselves, as clients do.
 *
 * @param index   its place among the scenario's requests, which stays when others are left out
 * @param arrivalMs     when it comes, from the scenario's start
 * @param doormanIndex  to which doorman
 * @param classIndex its class, by place
 * @param objectId   what it asks for
 * @param objectSet      the object set it was drawn from: {@code hot}, {@code ordinary} or {@code once}
 * @param partIndex     the part of the object
 * @param groupId    the object's group
 * @param sizeKb   the size of the part
 * @param timeoutMs how long the client waits for this try
 * @param leavesAfterMs when the client leaves by itself, from the start of the try; 0: it doesn't
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
