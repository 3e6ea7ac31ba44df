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
import barleyspur.fleet.net.FleetService;
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

/** One doorman, whole: puts its parts together on one event loop thread, and takes it down again. */
public final class Node {

    private static final Logger LOG = LoggerFactory.getLogger("node");
    /**
     * The depots get a third of the descriptors, and clients what the process leaves: those that the protocol knows
     * hold a third at most, and others must not be able to keep them out. The process has about 20 of its own, and
     * in a crowd up to 32 are accepted, or closed but not yet given back, between two looks.
     */
    private static final int SHARES = 3;

    private static final int OWN_SOCKETS = 64;
    private static final long MEGABYTE = 1 << 20;
    /** The part of the memory that unread answers may fill: the buffers that hold them were seen to take thrice that. */
    private static final int UNREAD_SHARE = 24;
    /** Requests played before the start: by then what each request runs through is compiled. */
    private static final int REHEARSED = 200;
    /** New requests may come for 0.6 s after SIGTERM, and must still be answered. */
    private static final double DRAIN_MS = 750;
    /** How long clients have to read their last answers and close, before the process ends, where SIGKILL leaves that. */
    private static final double LAST_READ_MS = 1_000;

    /** Reads a configuration. */
    public interface Source {
        /** The configuration as it is now; a fault names its key. */
        Configuration read() throws Configuration.Invalid;
    }

    /** Reads our own settings. */
    public interface OwnSource {
        /** The settings as they are now; a fault names its line. */
        OwnSettings read() throws Configuration.Invalid;
    }

    private Configuration configuration;
    private final OwnSettings own;
    /** Reads configurations one after another, off the event loop, for as long as there are any to read. */
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
    /** The classes that requests may name; a retune makes a new table. */
    private RequestClassRegistry classes;
    /** The second address; null where the platform gives none. */
    private final AdminServer admin;
    /** Where an upgrade's processes say which of them listens last; null without a second address. */
    private final HandOffNote handOff;
    /** The view of the other doormans; null where the settings have no block for it. */
    private final Subsystem fleet;
    /** What the doormans may use together; null where the settings have no block for it. */
    private final BudgetPort budgets;

    /** A doorman with what its own settings switch on; without any it is the platform's. */
    public Node(Configuration configuration, OwnSettings own) {
        this(configuration, own, LoopClock::new);
    }

    /** The same with another clock than the machine's, made for its event loop: for tests of clocks that drift. */
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
        // Not the configuration's seed: doormans, and lives of one, may have it alike, and must be told apart.
        long life = own.fleet() == null ? 0 : new SecureRandom().nextLong();
        FleetService port = own.fleet() == null
                ? null
                : new FleetService(
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
            // Only a platform that gives a second address upgrades a doorman beside itself.
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

    /** Rehearses, learns what is known, then listens; throws where the address can't be had. */
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
     * Reads the configuration anew and goes over to it, or says what is wrong and stays with the one before. Of
     * many calls at once, the last ones find theirs done by one that is still to read.
     */
    public void reload(Source source, OwnSource ownSource) {
        reloads.execute(() -> {
            try {
                OwnSettings nextOwn = ownSource.read();
                Configuration next = source.read();
                group.execute(() -> apply(next));
                group.execute(() -> apply(nextOwn));
            } catch (RejectedExecutionException e) {
                // It has ended meanwhile: nothing is to be changed any more.
            } catch (Configuration.Invalid e) {
                LogEvent.log(LOG.atError(), "reload: the configuration before stays", "cause", e.getMessage());
            }
        });
    }

    /** Of our own settings the wholes and weights of budgets count at once. */
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
     * Answers what is open and what still comes for a while, then ends. Where a successor listens on the clients'
     * address (an upgrade), nothing new comes here: it stops listening at once, closes what is idle and ends as soon
     * as what is open is answered. The note is read here, off the event loop.
     */
    public void drain() {
        long successor = handOff == null
                ? -1
                : handOff.successorOf(ProcessHandle.current().pid());
        try {
            group.execute(() -> leave(successor));
        } catch (RejectedExecutionException e) {
            // It has ended already, or never started.
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

    /** Waits until a drain has ended. */
    public void awaitEnd() throws InterruptedException {
        ended.await();
    }
}
