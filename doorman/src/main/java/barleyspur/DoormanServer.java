package barleyspur;

import barleyspur.admin.AdminServer;
import barleyspur.admin.LifecycleRoutes;
import barleyspur.admin.Routes;
import barleyspur.budget.net.BudgetService;
import barleyspur.budget.net.BudgetedDepots;
import barleyspur.channel.CommandChannel;
import barleyspur.channel.CommandReader;
import barleyspur.config.Configuration;
import barleyspur.config.OwnSettings;
import barleyspur.decision.LeastRecentlyLostPolicy;
import barleyspur.decision.RoutingPolicy;
import barleyspur.depot.DepotClient;
import barleyspur.doorman.Clock;
import barleyspur.doorman.Doorman;
import barleyspur.doorman.EventLoopClock;
import barleyspur.doorman.SocketPollTimes;
import barleyspur.fleet.net.FleetService;
import barleyspur.front.thrift.InputBudgets;
import barleyspur.front.thrift.ThriftServer;
import barleyspur.lifecycle.Lifecycle;
import barleyspur.log.LogEvent;
import barleyspur.reload.RequestClassRegistry;
import barleyspur.transport.Connector;
import barleyspur.upgrade.ListenerPidFile;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.internal.PlatformDependent;
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
public final class DoormanServer {

    private static final Logger LOG = LoggerFactory.getLogger("node");
    /**
     * Depot connections get a third of the file descriptors, and clients what the process itself leaves. The clients
     * that the protocol knows hold at most a third, and other peers must not be able to lock them out. The process
     * needs about 20 descriptors itself, and during a burst up to 32 sockets are accepted, or closed but not yet
     * released, between two checks.
     */
    private static final int SOCKET_SHARES = 3;

    private static final int RESERVED_SOCKETS = 64;
    private static final long MEGABYTE = 1 << 20;
    /** Unread answers may use one part in this many of the memory limit; their buffers take three times as much. */
    private static final int UNREAD_MEMORY_DIVISOR = 24;
    /** Synthetic requests run before the start; by then the code on the path of a request is compiled. */
    private static final int WARM_UP_REQUESTS = 200;
    /** New requests may arrive for 0.6 s after SIGTERM and still have to be answered. */
    private static final double ACCEPT_AFTER_SIGTERM_MS = 750;
    /**
     * How long clients have to read their last answers and close before the process ends, if SIGKILL leaves that much
     * time.
     */
    private static final double FINAL_READ_MS = 1_000;

    /** Reads the platform's configuration. */
    public interface ConfigurationSource {
        /** Returns the current configuration; an error names the invalid key. */
        Configuration read() throws Configuration.InvalidConfigurationException;
    }

    /** Reads the program's own settings. */
    public interface OwnSettingsSource {
        /** Returns the current settings; an error names the invalid line. */
        OwnSettings read() throws Configuration.InvalidConfigurationException;
    }

    private Configuration configuration;
    private final OwnSettings ownSettings;
    /** Reads configurations one at a time, off the event loop. The thread ends when there is nothing to read. */
    private final ThreadPoolExecutor reloadExecutor = new ThreadPoolExecutor(
            0,
            1,
            1,
            TimeUnit.SECONDS,
            new ArrayBlockingQueue<>(1),
            new DefaultThreadFactory("reload", true),
            new ThreadPoolExecutor.DiscardPolicy());

    private final SocketPollTimes pollTimes = new SocketPollTimes();
    private final EventLoopThreadFactory eventLoopThreads = new EventLoopThreadFactory(this::onEventLoopFailure);
    private final EventLoopGroup eventLoops =
            new MultiThreadIoEventLoopGroup(1, eventLoopThreads, pollTimes.ioHandlerFactory());
    private final CountDownLatch stopped = new CountDownLatch(1);
    private volatile Runnable failureHandler = () -> {};
    private final Doorman doorman;
    private final CommandChannel commandChannel;
    private final ThriftServer thriftServer;
    private final InputBudgets inputBudgets;
    private final CommandReader commandReader;
    private final Clock clock;
    private final Lifecycle lifecycle = new Lifecycle();
    /** The classes that requests may name; replaced by each reload that changes them. */
    private RequestClassRegistry requestClasses;
    /** The server on the administration address; null if the platform configures none. */
    private final AdminServer admin;
    /** Shows the two processes of an upgrade which of them listens; null without an administration address. */
    private final ListenerPidFile listenerPidFile;
    /** The view of the other doormans; null without a fleet block in the settings. */
    private final Subsystem fleet;
    /** The budgets shared by all doormans; null without a budgets block in the settings. */
    private final BudgetService budgets;

    /**
     * Creates a doorman with the optional components that its own settings enable; with empty settings it only does
     * what the platform requires.
     */
    public DoormanServer(Configuration configuration, OwnSettings ownSettings) {
        this(configuration, ownSettings, EventLoopClock::new);
    }

    /** Creates a doorman with a custom clock, made for its event loop, for tests of clocks that drift. */
    public DoormanServer(
            Configuration configuration,
            OwnSettings ownSettings,
            BiFunction<EventLoop, SocketPollTimes, Clock> clockFactory) {
        this.configuration = configuration;
        this.ownSettings = ownSettings;
        Configuration.Limits limits = configuration.limits();
        RoutingPolicy.Settings settings = configuration.settings();
        clock = clockFactory.apply(eventLoops.next(), pollTimes);
        DepotClient depots = new DepotClient(
                Connector.tcp(eventLoops, limits.connectTimeoutMs()),
                clock,
                new DepotClient.Limits(
                        limits.maxStreamsPerConnection(),
                        limits.connectionIdleMs(),
                        limits.maxSockets() / SOCKET_SHARES),
                settings.reportFields());
        LeastRecentlyLostPolicy policy = new LeastRecentlyLostPolicy(settings, configuration.seed());
        // The configuration's seed is not used here: several doormans, and successive processes of one, may share it
        // but have to be distinguishable.
        long randomSeed = ownSettings.fleet() == null ? 0 : new SecureRandom().nextLong();
        FleetService fleetService = ownSettings.fleet() == null
                ? null
                : new FleetService(
                        eventLoops,
                        clock,
                        ownSettings.fleet(),
                        lifecycle,
                        configuration.name(),
                        configuration.names().zones().get(settings.zone()),
                        version(),
                        configuration.settingsDigest(),
                        System.currentTimeMillis(),
                        randomSeed);
        fleet = fleetService;
        budgets = ownSettings.budgets() == null
                ? null
                : new BudgetService(
                        fleetService, clock, ownSettings.budgets().config(), configuration.name(), randomSeed + 1);
        doorman = new Doorman(
                settings,
                limits.maxOpenRequests(),
                policy,
                clock,
                budgets == null
                        ? depots
                        : new BudgetedDepots(
                                depots,
                                budgets,
                                clock,
                                ownSettings.budgets().config(),
                                ownSettings
                                        .budgets()
                                        .guardedModelIndexes(
                                                configuration.names().kinds())));
        commandReader = new CommandReader(
                configuration.names().zones(), configuration.names().kinds(), doorman);
        commandChannel = new CommandChannel(
                Connector.tcp(eventLoops, CommandChannel.CONNECT_TIMEOUT_MS),
                configuration.channelAddress(),
                clock,
                commandReader);
        requestClasses = RequestClassRegistry.of(configuration.names().classes(), settings.classes());
        int maxClientConnections = Math.max(
                limits.maxSockets() / SOCKET_SHARES + 1,
                limits.maxSockets() - limits.maxSockets() / SOCKET_SHARES - RESERVED_SOCKETS);
        inputBudgets = InputBudgets.of(
                PlatformDependent.maxDirectMemory(), Runtime.getRuntime().maxMemory(), maxClientConnections);
        thriftServer = new ThriftServer(
                eventLoops,
                doorman,
                clock,
                requestClasses,
                maxClientConnections,
                limits.memoryMb() * MEGABYTE / UNREAD_MEMORY_DIVISOR,
                inputBudgets,
                depots::pauseReading,
                lifecycle,
                configuration.managementAddress() != null);
        if (configuration.managementAddress() == null) {
            admin = null;
            listenerPidFile = null;
        } else {
            // Only a platform that configures an administration address runs upgrades with two processes at a time.
            Routes.Builder routes =
                    new LifecycleRoutes(lifecycle, clock, this::onLifecycleChanged).addTo(Routes.builder());
            new MemoryReport(inputBudgets, doorman, policy, clock).addTo(routes);
            if (fleet != null) {
                fleet.addTo(routes);
            }
            if (budgets != null) {
                budgets.addRoutes(routes);
            }
            admin = new AdminServer(eventLoops, clock, routes.build());
            listenerPidFile = new ListenerPidFile(configuration.tempDirectory(), configuration.listenAddress());
        }
    }

    private static String version() {
        String version = DoormanServer.class.getPackage().getImplementationVersion();
        return version == null ? "" : version;
    }

    private void onLifecycleChanged() {
        thriftServer.closeIdle();
        if (fleet != null) {
            fleet.onLifecycleChange();
        }
    }

    /** Warms up, applies the commands known at start, then listens. Throws if an address can't be bound. */
    public void start() throws IOException, InterruptedException, ExecutionException {
        long answerBytes = eventLoops
                .submit(() -> new WarmUp(eventLoops, configuration).run(WARM_UP_REQUESTS))
                .get();
        LogEvent.log(LOG.atInfo(), "rehearsed", "requests", WARM_UP_REQUESTS, "bytes", answerBytes);
        eventLoops
                .submit(() -> {
                    commandReader.readInitial(configuration.initialCommands());
                    commandChannel.connect();
                })
                .sync();
        awaitBound(thriftServer.listen(configuration.listenAddress()), configuration.listenAddress());
        eventLoops
                .submit(() -> {
                    lifecycle.startServing(clock.nowMs());
                    if (fleet != null) {
                        fleet.start();
                    }
                })
                .sync();
        if (admin != null) {
            awaitBound(admin.listen(configuration.managementAddress()), configuration.managementAddress());
            listenerPidFile.write(ProcessHandle.current().pid());
        }
        LogEvent.log(
                LOG.atInfo(),
                "serves",
                "name",
                configuration.name(),
                "address",
                configuration.listenAddress(),
                "mgmt",
                configuration.managementAddress());
    }

    private void awaitBound(ChannelFuture future, InetSocketAddress address) throws IOException, InterruptedException {
        ChannelFuture bound = future.await();
        if (!bound.isSuccess()) {
            stopEventLoop();
            throw new IOException(
                    "can't listen on " + address + ": " + bound.cause().getMessage());
        }
    }

    /**
     * Reloads the configuration and applies it; if it is invalid, logs the error and keeps the previous one. If several
     * calls come at once, the last ones are dropped, as a reload that is still waiting will read the same files.
     */
    public void reload(ConfigurationSource configurationSource, OwnSettingsSource ownSettingsSource) {
        reloadExecutor.execute(() -> {
            try {
                OwnSettings nextOwnSettings = ownSettingsSource.read();
                Configuration next = configurationSource.read();
                eventLoops.execute(() -> apply(next));
                eventLoops.execute(() -> apply(nextOwnSettings));
            } catch (RejectedExecutionException e) {
                // The event loop has shut down meanwhile, so there is nothing left to update.
            } catch (Configuration.InvalidConfigurationException e) {
                LogEvent.log(LOG.atError(), "reload: the configuration before stays", "cause", e.getMessage());
            }
        });
    }

    /** Applies changed own settings. Only the amounts and weights of budgets take effect without a restart. */
    private void apply(OwnSettings next) {
        List<String> restartKeys = ownSettings.changesRequiringRestart(next);
        if (!restartKeys.isEmpty()) {
            LogEvent.log(
                    LOG.atWarn(),
                    "reload: changes that count from the next start on",
                    "keys",
                    String.join(",", restartKeys));
        }
        if (budgets != null && next.budgets() != null) {
            budgets.reconfigure(next.budgets().config());
        }
    }

    private void apply(Configuration next) {
        List<String> restartKeys = configuration.changesRequiringRestart(next);
        if (!restartKeys.isEmpty()) {
            LogEvent.log(
                    LOG.atWarn(),
                    "reload: changes that count from the next start on",
                    "keys",
                    String.join(",", restartKeys));
        }
        RequestClassRegistry.Update update =
                requestClasses.update(next.names().classes(), next.settings().classes());
        int attempts = next.settings().maxAttempts();
        if (!update.isUnchanged() || attempts != configuration.settings().maxAttempts()) {
            requestClasses = update.registry();
            doorman.applySettings(configuration.settings().retuned(requestClasses.classes(), attempts));
            thriftServer.updateClasses(requestClasses);
            LogEvent.log(
                    LOG.atInfo(),
                    "reload: classes retuned",
                    "added",
                    String.join(",", update.added()),
                    "changed",
                    String.join(",", update.changed()),
                    "dropped",
                    String.join(",", update.dropped()),
                    "attempts",
                    attempts);
        }
        LOG.info("reload: done");
        configuration = configuration.withRuntimeChanges(next);
        commandChannel.reconnectTo(next.channelAddress());
    }

    /**
     * Drains and then ends the process: answers open requests and those that still arrive for a while. During an
     * upgrade, when a successor listens on the client address, no new connections arrive here: the process stops
     * listening at once, closes idle connections and ends as soon as open requests are answered. The pid file is read
     * here because this method runs off the event loop.
     */
    public void drain() {
        long successor = listenerPidFile == null
                ? -1
                : listenerPidFile.liveSuccessorOf(ProcessHandle.current().pid());
        try {
            eventLoops.execute(() -> startLeaving(successor));
        } catch (RejectedExecutionException e) {
            // The event loop has shut down already, after a drain or a failed start.
        }
    }

    private void startLeaving(long successor) {
        boolean wasServing = lifecycle.phase() != Lifecycle.Phase.STARTING;
        if (!lifecycle.startLeaving(
                clock.nowMs(), successor >= 0, Lifecycle.earliestKillAfterMs(requestClasses.longestDeadlineMs()))) {
            return;
        }
        LogEvent.log(LOG.atInfo(), "leaving", "successor", successor);
        if (wasServing && !lifecycle.shouldListen()) {
            thriftServer.stopListening();
            thriftServer.closeIdle();
        }
        if (fleet != null) {
            fleet.onLifecycleChange();
        }
        double graceMs = wasServing && lifecycle.shouldListen() ? ACCEPT_AFTER_SIGTERM_MS : 0;
        if (lifecycle.shouldListen()) {
            clock.schedule(graceMs, () -> {
                lifecycle.endGrace();
                thriftServer.closeIdle();
            });
        }
        doorman.drain(graceMs, lifecycle.answerDeadlineMs() - clock.nowMs(), () -> {
            lifecycle.endGrace();
            thriftServer.close(
                    Math.max(FINAL_READ_MS, lifecycle.answerDeadlineMs() - clock.nowMs()), this::stopSubsystems);
        });
    }

    private void stopSubsystems() {
        commandChannel.close();
        if (fleet == null) {
            stopEventLoop();
        } else {
            fleet.stop(this::stopEventLoop);
        }
    }

    /**
     * Sets what is run if the event loop thread ends by an error: no request can be answered any more, although the
     * address may still be open, so a process that does nothing else should end. {@link #awaitEnd} returns as well.
     */
    public void setFailureHandler(Runnable handler) {
        failureHandler = handler;
    }

    private void onEventLoopFailure(Throwable cause) {
        try {
            LogEvent.log(LOG.atError(), "the event loop has ended: no request is answered any more", "cause", cause);
        } finally {
            // Logging may fail as well, for want of memory.
            stopped.countDown();
            failureHandler.run();
        }
    }

    private void stopEventLoop() {
        eventLoopThreads.allowEnd();
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).addListener(done -> stopped.countDown());
    }

    /** Waits until the process has shut down after a drain, or the event loop has ended by an error. */
    public void awaitEnd() throws InterruptedException {
        stopped.await();
    }
}
