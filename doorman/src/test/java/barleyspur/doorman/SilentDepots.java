package barleyspur.doorman;

/** A stub for tests of the layers above the depots: accepts everything and never answers. */
public final class SilentDepots implements Depots {

    @Override
    public void list(long node, NodeListing listing) {}

    @Override
    public void retire(long node) {}

    @Override
    public Call send(long node, Order order, AttemptListener listener) {
        return () -> {};
    }

    @Override
    public void probe(long node, double timeoutMs, AttemptListener listener) {}

    @Override
    public void closeIdle(long node) {}
}
