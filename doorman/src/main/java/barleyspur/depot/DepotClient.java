package barleyspur.depot;

import barleyspur.decision.Director.Result;
import barleyspur.doorman.CappedLog;
import barleyspur.doorman.Clock;
import barleyspur.doorman.Depots;
import barleyspur.doorman.NodeListing;
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
    private static final double SWEEP_MS = 100;
    /** The number of connections to one depot over which calls are spread. */
    private static final int SPREAD = 8;
    /**
     * Connections for spreading are opened only up to this share of the limit; the rest is reserved for depots that
     * have no connection yet.
     */
    private static final double SPARE_SHARE = 0.75;
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
    public record Limits(int streams, int idleMs, int mostConnections) {}

    private final Connector connector;
    private final Clock clock;
    private final Limits limits;
    private final DepotConnection.Shared shared;
    private final Map<Long, Depot> depots = new HashMap<>();
    private int connections;
    private boolean reading = true;
    private long probes;

    /** Creates a client; {@code reportFields} are the names of the values in load reports. */
    public DepotClient(Connector connector, Clock clock, Limits limits, List<String> reportFields) {
        this.connector = connector;
        this.clock = clock;
        this.limits = limits;
        this.shared = new DepotConnection.Shared(clock, reportFields, limits.streams(), new CappedLog(LOG, clock));
        sweepLater();
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
            boolean coming = false;
            for (DepotConnection c : pool) {
                coming |= !c.isUp();
                if (c.takes(id, limits.streams()) && (best == null || better(c, best))) {
                    best = c;
                }
            }
            if (best == null) {
                best = connections < limits.mostConnections() || makeRoom() ? connect() : null;
                if (best == null) {
                    shared.log().warn("no connection: too many are open", "depot", listing.uid(), "open", connections);
                }
            } else if (best.load() > 0
                    && !coming
                    && pool.size() < SPREAD
                    && connections < limits.mostConnections() * SPARE_SHARE) {
                connect();
            }
            return best != null && best.takes(id, limits.streams()) ? best : null;
        }

        private boolean better(DepotConnection c, DepotConnection than) {
            return c.isUp() == than.isUp() ? c.load() < than.load() : c.isUp();
        }

        private DepotConnection connect() {
            connections++;
            DepotConnection[] made = new DepotConnection[1];
            RespDecoder decoder = new RespDecoder();
            DepotConnection c = new DepotConnection(listing.uid(), shared, decoder, () -> {
                if (pool.remove(made[0])) {
                    connections--;
                }
            });
            made[0] = c;
            pool.add(c);
            c.connecting(connector.connect(listing.address(), decoder, c));
            c.read(reading);
            return c;
        }

        void retire() {
            new ArrayList<>(pool).forEach(DepotConnection::retire);
        }

        boolean closeIdle(double ms) {
            boolean any = false;
            for (DepotConnection c : new ArrayList<>(pool)) {
                if (c.isUp() && c.idleFor(ms)) {
                    c.close();
                    any = true;
                }
            }
            return any;
        }
    }

    /** Closes the idle connections to one depot so that another depot without connections can be reached. */
    private boolean makeRoom() {
        return depots.values().stream().anyMatch(d -> d.closeIdle(0));
    }

    @Override
    public void list(long node, NodeListing listing) {
        Depot depot = depots.computeIfAbsent(node, k -> new Depot(listing));
        NodeListing before = depot.listing;
        depot.listing = listing;
        if (!before.address().equals(listing.address()) || before.bootMs() != listing.bootMs()) {
            // The existing connections lead to the previous process, or to another node that has taken over its
            // address, and must not be used for new calls.
            depot.retire();
        }
    }

    @Override
    public void retire(long node) {
        Depot depot = depots.remove(node);
        if (depot != null) {
            depot.retire();
        }
    }

    /** Pauses or resumes reading on all connections. */
    public void pauseReading(boolean pause) {
        reading = !pause;
        for (Depot depot : depots.values()) {
            depot.pool.forEach(c -> c.read(reading));
        }
    }

    @Override
    public Call send(long node, Order order, AttemptListener listener) {
        Depot depot = depots.get(node);
        DepotConnection c =
                depot == null ? null : depot.connection(order.request().id());
        if (c == null) {
            return never(listener);
        }
        ByteBufAllocator alloc = c.channel().alloc();
        int bodyBytes = order.request().body().readableBytes();
        return c.open(
                order.request().id(),
                waitedMs -> Resp.serveHead(alloc, order, bodyBytes, waitedMs),
                order.request().body().retainedDuplicate(),
                listener);
    }

    @Override
    public void probe(long node, double timeoutMs, AttemptListener listener) {
        String tag = "p" + ++probes;
        Depot depot = depots.get(node);
        DepotConnection c = depot == null ? null : depot.connection(tag);
        if (c == null) {
            never(listener);
            return;
        }
        DepotConnection.Call[] made = new DepotConnection.Call[1];
        Clock.Timer timeout = clock.after(timeoutMs, () -> {
            made[0].giveUp();
            listener.ended(Answer.of(Result.TIMEOUT));
        });
        made[0] = c.open(tag, waitedMs -> Resp.message(c.channel().alloc(), "gauges", tag), null, answer -> {
            timeout.cancel();
            listener.ended(answer);
        });
    }

    /** Reports a failed connect. This is scheduled because a listener must not be notified from within the call. */
    private Call never(AttemptListener listener) {
        return clock.after(0, () -> listener.ended(Answer.of(Result.CONNECT_FAILED)))::cancel;
    }

    @Override
    public void closeIdle(long node) {
        Depot depot = depots.get(node);
        if (depot != null) {
            depot.closeIdle(0);
        }
    }

    private void sweepLater() {
        clock.after(SWEEP_MS, () -> {
            for (Depot depot : depots.values()) {
                depot.closeIdle(Math.max(limits.idleMs() / 2, limits.idleMs() - IDLE_MARGIN_MS));
                new ArrayList<>(depot.pool).forEach(DepotConnection::checkStalled);
            }
            sweepLater();
        });
    }
}
