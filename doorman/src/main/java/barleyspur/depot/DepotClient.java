package barleyspur.depot;

import barleyspur.decision.RoutingPolicy.Result;
import barleyspur.doorman.Clock;
import barleyspur.doorman.Depots;
import barleyspur.doorman.NodeListing;
import barleyspur.doorman.RateLimitedLog;
import barleyspur.transport.Connector;
import io.netty.buffer.ByteBufAllocator;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The RESP client for depots: keeps a few connections to each node, opened as needed and closed when idle. */
public final class DepotClient implements Depots {

    private static final Logger LOG = LoggerFactory.getLogger("depot");
    private static final double SWEEP_INTERVAL_MS = 100;
    /** The number of connections to one depot over which calls are spread. */
    private static final int PREFERRED_CONNECTIONS = 8;
    /**
     * Connections for spreading are opened only up to this share of the limit; the rest is reserved for depots that
     * have no connection yet.
     */
    private static final double MAX_SPREAD_SHARE = 0.75;
    /**
     * Idle connections are closed this much before the depot would close them, so that no request crosses the depot's
     * close, but at the earliest at half of the depot's timeout.
     */
    private static final int IDLE_MARGIN_MS = 2_000;

    /**
     * The limits on connections.
     *
     * @param maxStreams the maximum number of open calls on one connection
     * @param depotIdleTimeoutMs the time after which depots close an idle connection
     * @param maxConnections the maximum number of connections to all depots
     */
    public record Limits(int maxStreams, int depotIdleTimeoutMs, int maxConnections) {}

    private final Connector connector;
    private final Clock clock;
    private final Limits limits;
    private final DepotConnection.Shared shared;
    private final Map<Long, Depot> depots = new HashMap<>();
    private int connectionCount;
    private boolean reading = true;
    private long probeCount;

    /** Creates a client; {@code reportFields} are the names of the values in load reports. */
    public DepotClient(Connector connector, Clock clock, Limits limits, List<String> reportFields) {
        this.connector = connector;
        this.clock = clock;
        this.limits = limits;
        this.shared =
                new DepotConnection.Shared(clock, reportFields, limits.maxStreams(), new RateLimitedLog(LOG, clock));
        scheduleSweep();
    }

    /** A node's listing and the connections to it. */
    private final class Depot {
        private NodeListing listing;
        private final List<DepotConnection> pool = new ArrayList<>(2);

        Depot(NodeListing listing) {
            this.listing = listing;
        }

        /**
         * Returns a connection for a call: the least loaded established one, else one that is being established, else a
         * new one; null if none can be opened. If all connections have open calls, another one is opened for later
         * calls: a fault on a connection fails all calls that are open on it, so few calls should share one.
         */
        DepotConnection connection(String id) {
            DepotConnection best = null;
            boolean connecting = false;
            for (DepotConnection candidate : pool) {
                connecting |= !candidate.isConnected();
                if (candidate.canOpen(id, limits.maxStreams()) && (best == null || isBetter(candidate, best))) {
                    best = candidate;
                }
            }
            if (best == null) {
                best = connectionCount < limits.maxConnections() || closeSomeIdleConnections() ? connect() : null;
                if (best == null) {
                    shared.log()
                            .warn("no connection: too many are open", "depot", listing.uid(), "open", connectionCount);
                }
            } else if (best.openCallCount() > 0
                    && !connecting
                    && pool.size() < PREFERRED_CONNECTIONS
                    && connectionCount < limits.maxConnections() * MAX_SPREAD_SHARE) {
                connect();
            }
            return best != null && best.canOpen(id, limits.maxStreams()) ? best : null;
        }

        private boolean isBetter(DepotConnection candidate, DepotConnection other) {
            return candidate.isConnected() == other.isConnected()
                    ? candidate.openCallCount() < other.openCallCount()
                    : candidate.isConnected();
        }

        private DepotConnection connect() {
            connectionCount++;
            DepotConnection[] created = new DepotConnection[1];
            RespDecoder decoder = new RespDecoder();
            DepotConnection connection = new DepotConnection(listing.uid(), shared, decoder, () -> {
                if (pool.remove(created[0])) {
                    connectionCount--;
                }
            });
            created[0] = connection;
            pool.add(connection);
            connection.trackConnect(connector.connect(listing.address(), decoder, connection));
            connection.setReading(reading);
            return connection;
        }

        void drainConnections() {
            new ArrayList<>(pool).forEach(DepotConnection::drain);
        }

        boolean closeIdleFor(double idleMs) {
            boolean closedAny = false;
            for (DepotConnection connection : new ArrayList<>(pool)) {
                if (connection.isConnected() && connection.isIdleFor(idleMs)) {
                    connection.close();
                    closedAny = true;
                }
            }
            return closedAny;
        }
    }

    /** Closes the idle connections to one depot so that another depot without connections can be reached. */
    private boolean closeSomeIdleConnections() {
        return depots.values().stream().anyMatch(d -> d.closeIdleFor(0));
    }

    @Override
    public void updateNode(long node, NodeListing listing) {
        Depot depot = depots.computeIfAbsent(node, k -> new Depot(listing));
        NodeListing previous = depot.listing;
        depot.listing = listing;
        if (!previous.address().equals(listing.address()) || previous.bootMs() != listing.bootMs()) {
            // The existing connections lead to the previous process, or to another node that has taken over its
            // address, and must not be used for new calls.
            depot.drainConnections();
        }
    }

    @Override
    public void removeNode(long node) {
        Depot depot = depots.remove(node);
        if (depot != null) {
            depot.drainConnections();
        }
    }

    /** Pauses or resumes reading on all connections. */
    public void pauseReading(boolean pause) {
        reading = !pause;
        for (Depot depot : depots.values()) {
            depot.pool.forEach(c -> c.setReading(reading));
        }
    }

    @Override
    public Call send(long node, AttemptRequest attemptRequest, AttemptListener listener) {
        Depot depot = depots.get(node);
        DepotConnection connection =
                depot == null ? null : depot.connection(attemptRequest.request().id());
        if (connection == null) {
            return failLater(listener);
        }
        ByteBufAllocator alloc = connection.channel().alloc();
        int bodyBytes = attemptRequest.request().body().readableBytes();
        return connection.openCall(
                attemptRequest.request().id(),
                waitedMs -> Resp.serveHeader(alloc, attemptRequest, bodyBytes, waitedMs),
                attemptRequest.request().body().retainedDuplicate(),
                listener);
    }

    @Override
    public void probe(long node, double timeoutMs, AttemptListener listener) {
        String tag = "p" + ++probeCount;
        Depot depot = depots.get(node);
        DepotConnection connection = depot == null ? null : depot.connection(tag);
        if (connection == null) {
            failLater(listener);
            return;
        }
        DepotConnection.Call[] call = new DepotConnection.Call[1];
        Clock.Timer timeout = clock.schedule(timeoutMs, () -> {
            call[0].abandon();
            listener.onEnd(Answer.of(Result.TIMEOUT));
        });
        call[0] = connection.openCall(
                tag, waitedMs -> Resp.array(connection.channel().alloc(), "gauges", tag), null, answer -> {
                    timeout.cancel();
                    listener.onEnd(answer);
                });
    }

    /** Reports a failed connect. This is scheduled because a listener must not be notified from within the call. */
    private Call failLater(AttemptListener listener) {
        return clock.schedule(0, () -> listener.onEnd(Answer.of(Result.CONNECT_FAILED)))::cancel;
    }

    @Override
    public void closeIdleConnections(long node) {
        Depot depot = depots.get(node);
        if (depot != null) {
            depot.closeIdleFor(0);
        }
    }

    private void scheduleSweep() {
        clock.schedule(SWEEP_INTERVAL_MS, () -> {
            for (Depot depot : depots.values()) {
                depot.closeIdleFor(
                        Math.max(limits.depotIdleTimeoutMs() / 2, limits.depotIdleTimeoutMs() - IDLE_MARGIN_MS));
                new ArrayList<>(depot.pool).forEach(DepotConnection::checkStalled);
            }
            scheduleSweep();
        });
    }
}
