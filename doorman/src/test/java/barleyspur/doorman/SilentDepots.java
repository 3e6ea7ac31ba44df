package barleyspur.doorman;

/** Depots for tests of what stands in front of them: they take all and answer nothing. */
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
