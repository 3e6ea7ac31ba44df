package barleyspur.decision;

/**
 * One part of an object: what caches keep by itself. Looked up several times a request, so it compares and hashes
 * by itself; what records bring along is linked at run time and far slower.
 */
record Part(long object, int part) {

    static Part of(Director.Request r) {
        return new Part(r.object(), r.part());
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Part p && p.object == object && p.part == part;
    }

    @Override
    public int hashCode() {
        return 31 * Long.hashCode(object) + part;
    }
}
