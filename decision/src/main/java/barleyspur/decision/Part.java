package barleyspur.decision;

/**
 * One part of an object, the unit that caches store. As a map key it is looked up several times a request, so it
 * implements equals and hashCode itself: the generated methods of records are linked at run time and are far slower.
 */
record Part(long object, int part) {

    /** Returns the part that a request asks for. */
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
