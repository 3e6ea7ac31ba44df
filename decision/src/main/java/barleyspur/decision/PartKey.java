package barleyspur.decision;

/**
 * One part of an object, the unit that caches store. As a map key it is looked up several times a request, so it
 * implements equals and hashCode itself: the generated methods of records are linked at run time and are far slower.
 */
record PartKey(long object, int part) {

    /** Returns the part that a request asks for. */
    static PartKey of(RoutingPolicy.Request request) {
        return new PartKey(request.object(), request.part());
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof PartKey that && that.object == object && that.part == part;
    }

    @Override
    public int hashCode() {
        return 31 * Long.hashCode(object) + part;
    }
}
