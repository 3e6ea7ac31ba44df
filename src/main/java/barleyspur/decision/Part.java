package barleyspur.decision;

/** One part of an object: what caches keep by itself. */
record Part(long object, int part) { }
