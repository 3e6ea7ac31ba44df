package barleyspur.doorman;

/** A stub for tests of the layers above the depots: accepts everything and never answers. */
public final class UnresponsiveDepots implements Depots {

    @Override
    public void updateNode(long node, NodeListing listing) {}

    @Override
    public void removeNode(long node) {}

    @Override
    public Call send(long node, AttemptRequest attemptRequest, AttemptListener listener) {
        return () -> {};
    }

    @Override
    public void probe(long node, double timeoutMs, AttemptListener listener) {}

    @Override
    public void closeIdleConnections(long node) {}
}
