package barleyspur.doorman;

/** Depots for tests of what stands in front of them: they take all and answer nothing. */
public final class SilentDepots implements Depots {

    @Override
    public void list(long node, Listing listing) {}

    @Override
    public void retire(long node) {}

    @Override
    public Call send(long node, Order order, End end) {
        return () -> {};
    }

    @Override
    public void probe(long node, double timeoutMs, End end) {}

    @Override
    public void hangUp(long node) {}
}
