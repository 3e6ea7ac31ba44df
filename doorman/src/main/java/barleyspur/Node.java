package barleyspur;

import barleyspur.admin.AdminServer;
import barleyspur.admin.LifecycleCalls;
import barleyspur.admin.Routes;
import barleyspur.budget.net.BudgetPort;
import barleyspur.budget.net.GuardedDepots;
import barleyspur.channel.CommandChannel;
import barleyspur.channel.CommandReader;
import barleyspur.config.Configuration;
import barleyspur.config.OwnSettings;
import barleyspur.decision.Decide;
import barleyspur.decision.Director;
import barleyspur.depot.DepotClient;
import barleyspur.doorman.Clock;
import barleyspur.doorman.Doorman;
import barleyspur.doorman.LoopClock;
import barleyspur.doorman.SocketPolls;
import barleyspur.fleet.net.FleetPort;
import barleyspur.front.thrift.ThriftFront;
import barleyspur.lifecycle.Lifecycle;
import barleyspur.log.LogEvent;
import barleyspur.reload.RequestClassRegistry;
import barleyspur.transport.Connector;
import barleyspur.upgrade.HandOffNote;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One doorman process: assembles its components on a single event loop thread, starts them, and shuts them down again.
 */
public final class Node {

    private static final Logger LOG = LoggerFactory.getLogger("node");
    /**
     * Depot connections get a third of the file descriptors, and clients what the process itself leaves. The clients
     * that the protocol knows hold at most a third, and other peers must not be able to lock them out. The process
     * needs about 20 descriptors itself, and during a burst up to 32 sockets are accepted, or closed but not yet
     * released, between two checks.
     */
    private static final int SHARES = 3;

    private static final int OWN_SOCKETS = 64;
    private static final long MEGABYTE = 1 << 20;
    /**
     * Unread answers may use one part in this many of the memory limit: their buffers were measured to occupy three
     * times the size of the answers.
     */
    private static final int UNREAD_SHARE = 24;
    /** Synthetic requests run before the start; by then the code on the path of a request is compiled. */
    private static final int REHEARSED = 200;
    /** New requests may arrive for 0.6 s after SIGTERM and still have to be answered. */
    private static final double DRAIN_MS = 750;
    /**
     * How long clients have to read their last answers and close before the process ends, if SIGKILL leaves that much
     * time.
     */
    private static final double LAST_READ_MS = 1_000;

    /** Reads the platform's configuration. */
    public interface Source {
        /** Returns the current configuration; an error names the invalid key. */
        Configuration read() throws Configuration.Invalid;
    }

    /** Reads the program's own settings. */
    public interface OwnSource {
        /** Returns the current settings; an error names the invalid line. */
        OwnSettings read() throws Configuration.Invalid;
    }

    private Configuration configuration;
    private final OwnSettings own;
    /** Reads configurations one at a time, off the event loop. The thread ends when there is nothing to read. */
    private final ThreadPoolExecutor reloads = new ThreadPoolExecutor(
            0,
            1,
            1,
            TimeUnit.SECONDS,
            new ArrayBlockingQueue<>(1),
            new DefaultThreadFactory("reload", true),
            new ThreadPoolExecutor.DiscardPolicy());

    private final SocketPolls polls = new SocketPolls();
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, polls.ioHandlers());
    private final CountDownLatch ended = new CountDownLatch(1);
    private final Doorman doorman;
    private final CommandChannel channel;
    private final ThriftFront front;
    private final CommandReader commands;
    private final Clock clock;
    private final Lifecycle lifecycle = new Lifecycle();
    /** The classes that requests may name; replaced by each reload that changes them. */
    private RequestClassRegistry classes;
    /** The server on the management address; null if the platform configures none. */
    private final AdminServer admin;
    /** Tells the two processes of an upgrade which of them listens; null without a management address. */
    private final HandOffNote handOff;
    /** The view of the other doormans; null without a fleet block in the settings. */
    private final Subsystem fleet;
    /** The budgets shared by all doormans; null without a budgets block in the settings. */
    private final BudgetPort budgets;

    /**
     * Creates a doorman with the optional components that its own settings enable; with empty settings it only does
     * what the platform requires.
     */
    public Node(Configuration configuration, OwnSettings own) {
        this(configuration, own, LoopClock::new);
    }

    /** Creates a doorman with a custom clock, made for its event loop, for tests of clocks that drift. */
    public Node(Configuration configuration, OwnSettings own, BiFunction<EventLoop, SocketPolls, Clock> clocks) {
        this.configuration = configuration;
        this.own = own;
        Configuration.Limits limits = configuration.limits();
        Director.Settings settings = configuration.settings();
        clock = clocks.apply(group.next(), polls);
        DepotClient depots = new DepotClient(
                Connector.tcp(group, limits.connectTimeoutMs()),
                clock,
                new DepotClient.Limits(limits.streams(), limits.idleMs(), limits.sockets() / SHARES),
                settings.reportFields());
        Director director = new Decide(settings, configuration.seed());
        // The configuration's seed is not used here: several doormans, and successive processes of one, may share it
        // but have to be distinguishable.
        long life = own.fleet() == null ? 0 : new SecureRandom().nextLong();
        FleetPort port = own.fleet() == null
                ? null
                : new FleetPort(
                        group,
                        clock,
                        own.fleet(),
                        lifecycle,
                        configuration.name(),
                        configuration.names().zones().get(settings.zone()),
                        version(),
                        configuration.digest(),
                        System.currentTimeMillis(),
                        life);
        fleet = port;
        budgets = own.budgets() == null
                ? null
                : new BudgetPort(port, clock, own.budgets().terms(), configuration.name(), life + 1);
        doorman = new Doorman(
                settings,
                limits.maxOpen(),
                director,
                clock,
                budgets == null
                        ? depots
                        : new GuardedDepots(
                                depots,
                                budgets,
                                clock,
                                own.budgets().terms(),
                                own.budgets().guarded(configuration.names().kinds())));
        commands = new CommandReader(
                configuration.names().zones(), configuration.names().kinds(), doorman);
        channel = new CommandChannel(
                Connector.tcp(group, CommandChannel.CONNECT_TIMEOUT_MS), configuration.channel(), clock, commands);
        classes = RequestClassRegistry.of(configuration.names().classes(), settings.classes());
        front = new ThriftFront(
                group,
                doorman,
                clock,
                classes,
                Math.max(limits.sockets() / SHARES + 1, limits.sockets() - limits.sockets() / SHARES - OWN_SOCKETS),
                limits.memoryMb() * MEGABYTE / UNREAD_SHARE,
                depots::pauseReading,
                lifecycle,
                configuration.mgmt() != null);
        if (configuration.mgmt() == null) {
            admin = null;
            handOff = null;
        } else {
            // Only a platform that configures a management address runs upgrades with two processes side by side.
            Routes.Builder routes =
                    new LifecycleCalls(lifecycle, clock, this::lifecycleChanged).addTo(Routes.builder());
            if (fleet != null) {
                fleet.addTo(routes);
            }
            if (budgets != null) {
                budgets.addTo(routes);
            }
            admin = new AdminServer(group, clock, routes.build());
            handOff = new HandOffNote(configuration.scratch(), configuration.listen());
        }
    }

    private static String version() {
        String version = Node.class.getPackage().getImplementationVersion();
        return version == null ? "" : version;
    }

    private void lifecycleChanged() {
        front.closeIdle();
        if (fleet != null) {
            fleet.refresh();
        }
    }

    /** Warms up, applies the commands known at start, then listens. Throws if an address can't be bound. */
    public void start() throws IOException, InterruptedException, ExecutionException {
        long answered = group.submit(() -> new Rehearsal(group, configuration).play(REHEARSED))
                .get();
        LogEvent.log(LOG.atInfo(), "rehearsed", "requests", REHEARSED, "bytes", answered);
        group.submit(() -> {
                    commands.known(configuration.known());
                    channel.start();
                })
                .sync();
        listen(front.listen(configuration.listen()), configuration.listen());
        group.submit(() -> {
                    lifecycle.serving(clock.nowMs());
                    if (fleet != null) {
                        fleet.start();
                    }
                })
                .sync();
        if (admin != null) {
            listen(admin.listen(configuration.mgmt()), configuration.mgmt());
            handOff.announce(ProcessHandle.current().pid());
        }
        LogEvent.log(
                LOG.atInfo(),
                "serves",
                "name",
                configuration.name(),
                "address",
                configuration.listen(),
                "mgmt",
                configuration.mgmt());
    }

    private void listen(ChannelFuture future, InetSocketAddress address) throws IOException, InterruptedException {
        ChannelFuture bound = future.await();
        if (!bound.isSuccess()) {
            end();
            throw new IOException(
                    "can't listen on " + address + ": " + bound.cause().getMessage());
        }
    }

    /**
     * Reloads the configuration and applies it; if it is invalid, logs the error and keeps the previous one. If several
     * calls come at once, the last ones are dropped, as a reload that is still waiting will read the same files.
     */
    public void reload(Source source, OwnSource ownSource) {
        reloads.execute(() -> {
            try {
                OwnSettings nextOwn = ownSource.read();
                Configuration next = source.read();
                group.execute(() -> apply(next));
                group.execute(() -> apply(nextOwn));
            } catch (RejectedExecutionException e) {
                // The event loop has shut down meanwhile, so there is nothing left to update.
            } catch (Configuration.Invalid e) {
                LogEvent.log(LOG.atError(), "reload: the configuration before stays", "cause", e.getMessage());
            }
        });
    }

    /** Applies changed own settings. Only the amounts and weights of budgets take effect without a restart. */
    private void apply(OwnSettings next) {
        List<String> fixed = own.fixedChanges(next);
        if (!fixed.isEmpty()) {
            LogEvent.log(
                    LOG.atWarn(), "reload: changes that count from the next start on", "keys", String.join(",", fixed));
        }
        if (budgets != null && next.budgets() != null) {
            budgets.retune(next.budgets().terms());
        }
    }

    private void apply(Configuration next) {
        List<String> fixed = configuration.fixedChanges(next);
        if (!fixed.isEmpty()) {
            LogEvent.log(
                    LOG.atWarn(), "reload: changes that count from the next start on", "keys", String.join(",", fixed));
        }
        RequestClassRegistry.Retune retune =
                classes.retune(next.names().classes(), next.settings().classes());
        int attempts = next.settings().maxAttempts();
        if (!retune.same() || attempts != configuration.settings().maxAttempts()) {
            classes = retune.table();
            doorman.retune(configuration.settings().retuned(classes.classes(), attempts));
            front.retune(classes);
            LogEvent.log(
                    LOG.atInfo(),
                    "reload: classes retuned",
                    "added",
                    String.join(",", retune.added()),
                    "changed",
                    String.join(",", retune.changed()),
                    "dropped",
                    String.join(",", retune.dropped()),
                    "attempts",
                    attempts);
        }
        LOG.info("reload: done");
        configuration = configuration.retuned(next);
        channel.moveTo(next.channel());
    }

    /**
     * Drains and then ends the process: answers open requests and those that still arrive for a while. During an
     * upgrade, when a successor listens on the client address, no new connections arrive here: the process stops
     * listening at once, closes idle connections and ends as soon as open requests are answered. The pid file is read
     * here because this method runs off the event loop.
     */
    public void drain() {
        long successor = handOff == null
                ? -1
                : handOff.successorOf(ProcessHandle.current().pid());
        try {
            group.execute(() -> leave(successor));
        } catch (RejectedExecutionException e) {
            // The event loop has shut down already, after a drain or a failed start.
        }
    }

    private void leave(long successor) {
        boolean served = lifecycle.phase() != Lifecycle.Phase.STARTING;
        if (!lifecycle.leave(clock.nowMs(), successor >= 0, Lifecycle.killAfterMs(classes.longestDeadlineMs()))) {
            return;
        }
        LogEvent.log(LOG.atInfo(), "leaving", "successor", successor);
        if (served && !lifecycle.listening()) {
            front.stopListening();
            front.closeIdle();
        }
        if (fleet != null) {
            fleet.refresh();
        }
        double graceMs = served && lifecycle.listening() ? DRAIN_MS : 0;
        if (lifecycle.listening()) {
            clock.after(graceMs, () -> {
                lifecycle.graceOver();
                front.closeIdle();
            });
        }
        doorman.drain(graceMs, lifecycle.answeredByMs() - clock.nowMs(), () -> {
            lifecycle.graceOver();
            front.close(Math.max(LAST_READ_MS, lifecycle.answeredByMs() - clock.nowMs()), this::left);
        });
    }

    private void left() {
        channel.close();
        if (fleet == null) {
            end();
        } else {
            fleet.leave(this::end);
        }
    }

    private void end() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).addListener(done -> ended.countDown());
    }

    /** Waits until the process has shut down after a drain. */
    public void awaitEnd() throws InterruptedException {
        ended.await();
    }
}
