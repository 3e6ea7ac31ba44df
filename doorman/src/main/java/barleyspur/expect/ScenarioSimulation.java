package barleyspur.expect;

import barleyspur.decision.RoutingPolicy;
import barleyspur.decision.RoutingPolicy.Note;
import barleyspur.decision.RoutingPolicy.Result;
import barleyspur.decision.RoutingPolicy.State;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * Discrete-event simulation of one scenario on virtual time. Each doorman runs its own instance of the production
 * routing policy. Boxes, the node list, clients and purges are simple models that use the protocol's result codes.
 *
 * <p>The simulation reproduces what makes routing hard: each doorman gets list updates late and independently of the
 * others, and doormans share no state. Observers see both the actual state of a box and the state on a doorman's list.
 */
final class ScenarioSimulation {

    /** Creates routing policies; tests use it to check a mutated policy. */
    interface PolicyFactory {
        RoutingPolicy create(RoutingPolicy.Settings settings, long seed);
    }

    /** The policies' clock when a scenario starts; above 0, so that boxes can have started long before. */
    static final double POLICY_EPOCH_MS = 1_000_000_000;

    /** One-way latency between a doorman and a box. */
    private static final double LOCAL_LATENCY_MS = 0.4;
    /** Latency of a fill between a box and its source. */
    private static final double REMOTE_LATENCY_MS = 10;
    /** Additional latency if the origin has to be asked. */
    private static final double ORIGIN_LATENCY_MS = 45;
    /** How long a box waits for a fill source that does not respond. */
    private static final double FILL_TIMEOUT_MS = 2_000;
    /** Delay before a client's retry if it got no retry-after time or does not comply with it. */
    private static final double DEFAULT_RETRY_DELAY_MS = 100;
    /** Share of clients that wait for the retry-after time they are given. */
    private static final double RETRY_AFTER_COMPLIANCE = 0.6;
    /** Share of the objects that a box which runs from the start initially holds. */
    private static final double INITIAL_COPY_SHARE = 0.7;

    /** Bounds the length of a simulation, even if a policy never stops setting alarms. */
    private static final int MAX_TASKS = 4_000_000;

    private record ScheduledTask(double atMs, long sequence, Runnable action) {}

    /** The entry of a box on one doorman's list. */
    private static final class ListEntry {
        RoutingEvent.ListedState state = RoutingEvent.ListedState.IN_SERVICE;
        double updatedAtMs;
        /** NaN if the list reports no start during the simulation. */
        double startedAtMs = Double.NaN;
    }

    private static final class SimulatedDoorman {
        int index;
        RoutingPolicy.Settings settings;
        RoutingPolicy policy;
        /** Entries by node; boxes that are unchanged since the start have none. */
        final Map<Long, ListEntry> listEntries = new HashMap<>();
        /** By object: when the doorman was notified of the last purge, and the time of the purge itself. */
        final Map<Long, double[]> purgeNotices = new HashMap<>();
        /** Arrival time of the last list update; updates arrive in order. */
        double lastListUpdateMs;
    }

    /** An attempt that a doorman has sent to a box. */
    private static final class SentAttempt {
        SimulatedBox target;
        SimulatedBox source;
        double sentAtMs;
        double maxAgeMs;
        boolean completed;
        int processGeneration;
        boolean mayHaveRun = true;
    }

    /** The state of one client try. */
    private static final class OpenTry {
        long id;
        ClientRequest request;
        int tryNumber;
        double arrivedAtMs;
        double timeoutMs;
        SimulatedDoorman doorman;
        RoutingEvent.ClientTry clientTry;
        final List<SentAttempt> attempts = new ArrayList<>(2);
        double lastChangeMs;
        boolean finished;
    }

    /** The entry of boxes that are unchanged since the start. */
    private static final ListEntry INITIAL_ENTRY = new ListEntry();

    private final Scenario scenario;
    private final Deployment deployment;
    private final SimulationObserver observer;
    private final KeyedRandom random;
    private final PriorityQueue<ScheduledTask> tasks = new PriorityQueue<>(
            (a, b) -> a.atMs != b.atMs ? Double.compare(a.atMs, b.atMs) : Long.compare(a.sequence, b.sequence));
    private final Map<Long, SimulatedBox> boxesByNode = new LinkedHashMap<>();
    private final List<SimulatedDoorman> doormans = new ArrayList<>();
    private final Map<Long, OpenTry> triesById = new HashMap<>();
    /** Time of the first purge of each object, which removes the copies that boxes held at the start. */
    private final Map<Long, Double> firstPurgeMs = new HashMap<>();

    private final Map<Integer, Double> linkLostUntilMs = new HashMap<>();
    /** How often each request was executed, by request index. */
    private final int[] executions;

    private double listStaleUntilMs;
    private double listLagMs;
    private final double slackMs;
    private double nowMs;
    private long nextSequence;
    private long lastTryId;
    private long lastNodeId;
    private final long lastInitialNodeId;
    private long decisions;

    ScenarioSimulation(Scenario scenario, PolicyFactory policyFactory, SimulationObserver observer) {
        this.scenario = scenario;
        this.deployment = scenario.deployment();
        this.observer = observer;
        this.random = new KeyedRandom(scenario.seed());
        int requestCount = 0;
        for (ClientRequest request : scenario.requests()) {
            requestCount = Math.max(requestCount, request.index() + 1);
        }
        // Tolerance for random arrivals in the limit on the load of cold boxes: three requests of the slowest class.
        slackMs = 3 * Collections.max(scenario.meanWorkMs());
        executions = new int[requestCount];
        for (Box box : deployment.boxes()) {
            boxesByNode.put(box.nodeId(), newSimulatedBox(box));
            lastNodeId = Math.max(lastNodeId, box.nodeId());
        }
        lastInitialNodeId = lastNodeId;
        for (int i = 0; i < deployment.doormanSettings().size(); i++) {
            SimulatedDoorman doorman = new SimulatedDoorman();
            doorman.index = i;
            doorman.settings = deployment.doormanSettings().get(i);
            doorman.policy = policyFactory.create(doorman.settings, scenario.seed() * 31 + i);
            doormans.add(doorman);
        }
    }

    private SimulatedBox newSimulatedBox(Box box) {
        RoutingPolicy.ColdRule rule = deployment.roleOf(box) == Deployment.Role.DISTRICT
                ? deployment.sharedSettings().coldParent()
                : deployment.sharedSettings().coldCache();
        return new SimulatedBox(box, deployment.sharedSettings(), rule);
    }

    /** The entry of a box on a doorman's list; null if the box was never listed there. */
    private ListEntry listEntry(SimulatedDoorman doorman, Box box) {
        ListEntry entry = doorman.listEntries.get(box.nodeId());
        return entry != null || box.nodeId() > lastInitialNodeId ? entry : INITIAL_ENTRY;
    }

    /** Number of events delivered to the policies. */
    long decisionCount() {
        return decisions;
    }

    /** Runs the simulation until no task is left or the limit on tasks is reached. */
    void run() {
        List<RoutingPolicy.Node> nodes = new ArrayList<>(deployment.boxes().size());
        for (Box box : deployment.boxes()) {
            nodes.add(policyNode(box, State.READY, 0));
        }
        RoutingPolicy.Members start = new RoutingPolicy.Members(RoutingPolicy.ListKind.CACHED, nodes);
        doormans.forEach(doorman -> deliver(doorman, start));
        scenario.faults().forEach(fault -> schedule(fault.atMs(), () -> applyFault(fault)));
        scenario.requests()
                .forEach(request -> schedule(request.arrivalMs(), () -> startTry(request, 1, request.timeoutMs())));
        for (int i = 0; !tasks.isEmpty() && i < MAX_TASKS; i++) {
            ScheduledTask task = tasks.poll();
            nowMs = Math.max(nowMs, task.atMs);
            task.action.run();
        }
    }

    private void schedule(double atMs, Runnable action) {
        tasks.add(new ScheduledTask(atMs, nextSequence++, action));
    }

    private static RoutingPolicy.Node policyNode(Box box, State state, double startedAtMs) {
        return new RoutingPolicy.Node(
                box.nodeId(),
                box.zoneIndex(),
                box.modelIndex(),
                box.cell(),
                state,
                box.concurrentTransfers(),
                startedAtMs);
    }

    // ---- faults and list updates --------------------------------------------------------------------------

    private void applyFault(Fault fault) {
        SimulatedBox simulatedBox = boxesByNode.get(fault.nodeId());
        if (simulatedBox == null && fault.nodeId() >= 0) {
            return;
        }
        observer.onFault(nowMs, fault, simulatedBox == null ? null : simulatedBox.box);
        switch (fault.kind()) {
            case DRAIN -> changeState(simulatedBox, fault, RoutingEvent.ListedState.TERMINATING);
            case RETURN -> changeState(simulatedBox, fault, RoutingEvent.ListedState.IN_SERVICE);
            case GONE -> {
                endProcess(simulatedBox);
                changeState(simulatedBox, fault, RoutingEvent.ListedState.TERMINATED);
            }
            case MISSING ->
                notifyDoormans(
                        fault,
                        doorman -> updateList(doorman, simulatedBox.box, RoutingEvent.ListedState.MISSING, Double.NaN));
            case RESTART -> {
                endProcess(simulatedBox);
                simulatedBox.start(nowMs);
                double startedAtMs = nowMs;
                notifyDoormans(
                        fault,
                        doorman -> updateList(
                                doorman, simulatedBox.box, RoutingEvent.ListedState.IN_SERVICE, startedAtMs));
            }
            case REPLACE -> replaceBox(simulatedBox, fault);
            case HANG -> simulatedBox.hangsUntilMs = nowMs + fault.durationMs();
            case SLOW -> {
                simulatedBox.slowUntilMs = nowMs + fault.durationMs();
                simulatedBox.slowFactor = fault.magnitude();
            }
            case FULL -> simulatedBox.fullUntilMs = nowMs + fault.durationMs();
            case FAIL -> {
                simulatedBox.failsUntilMs = nowMs + fault.durationMs();
                simulatedBox.failShare = fault.magnitude();
            }
            case LINK -> linkLostUntilMs.put(simulatedBox.box.zoneIndex(), nowMs + fault.durationMs());
            case STALE -> {
                listStaleUntilMs = nowMs + fault.durationMs();
                listLagMs = fault.magnitude();
            }
            case PURGE -> purgeObject((long) fault.magnitude(), fault);
        }
    }

    /** Ends a box and starts a new one with an id of its own in its place. */
    private void replaceBox(SimulatedBox simulatedBox, Fault fault) {
        endProcess(simulatedBox);
        changeState(simulatedBox, fault, RoutingEvent.ListedState.TERMINATED);
        Box successor = new Box(
                simulatedBox.box.uid() + "'",
                ++lastNodeId,
                simulatedBox.box.zoneIndex(),
                simulatedBox.box.modelIndex(),
                simulatedBox.box.cell(),
                simulatedBox.box.concurrentTransfers());
        SimulatedBox simulatedSuccessor = newSimulatedBox(successor);
        simulatedSuccessor.start(nowMs);
        boxesByNode.put(successor.nodeId(), simulatedSuccessor);
        double startedAtMs = nowMs;
        notifyDoormans(
                fault, doorman -> updateList(doorman, successor, RoutingEvent.ListedState.IN_SERVICE, startedAtMs));
    }

    /** Ends the process of a box and resets its open connections. */
    private void endProcess(SimulatedBox simulatedBox) {
        int processGeneration = simulatedBox.processGeneration;
        simulatedBox.stop();
        for (OpenTry openTry : List.copyOf(triesById.values())) {
            for (int i = 0; i < openTry.attempts.size(); i++) {
                SentAttempt sent = openTry.attempts.get(i);
                if (sent.target == simulatedBox && sent.processGeneration == processGeneration && !sent.completed) {
                    int attemptIndex = i;
                    schedule(
                            nowMs + LOCAL_LATENCY_MS,
                            () -> completeAttempt(openTry, attemptIndex, Result.RESET, Note.NONE, Double.NaN));
                }
            }
        }
    }

    private void changeState(SimulatedBox simulatedBox, Fault fault, RoutingEvent.ListedState state) {
        simulatedBox.state = state;
        simulatedBox.stateSinceMs = nowMs;
        double startedAtMs = simulatedBox.startedAtMs;
        notifyDoormans(fault, doorman -> updateList(doorman, simulatedBox.box, state, startedAtMs));
    }

    /** A change of a doorman's list. */
    private interface ListUpdate {
        void applyTo(SimulatedDoorman doorman);
    }

    /** Schedules a list update at each doorman separately: delayed while the list is stale, never out of order. */
    private void notifyDoormans(Fault fault, ListUpdate update) {
        double lagMs = nowMs < listStaleUntilMs ? listLagMs : 0;
        for (SimulatedDoorman doorman : doormans) {
            double jitterMs = random.uniformBetween(0, 20, doorman.index, Math.round(nowMs), 17);
            doorman.lastListUpdateMs =
                    Math.max(doorman.lastListUpdateMs, nowMs + fault.listDelayMs() + lagMs + jitterMs);
            schedule(doorman.lastListUpdateMs, () -> update.applyTo(doorman));
        }
    }

    private void updateList(SimulatedDoorman doorman, Box box, RoutingEvent.ListedState state, double startedAtMs) {
        ListEntry entry = doorman.listEntries.computeIfAbsent(box.nodeId(), k -> new ListEntry());
        boolean newStart = !Double.isNaN(startedAtMs) && !(startedAtMs <= entry.startedAtMs);
        entry.updatedAtMs = nowMs;
        entry.state = state;
        entry.startedAtMs = Double.isNaN(startedAtMs) ? entry.startedAtMs : startedAtMs;
        observer.onListUpdate(nowMs, doorman.index, box, state, newStart);
        double policyStartMs = Double.isNaN(entry.startedAtMs) ? 0 : POLICY_EPOCH_MS + entry.startedAtMs;
        switch (state) {
            case IN_SERVICE -> deliver(doorman, deltaMembers(policyNode(box, State.READY, policyStartMs)));
            case TERMINATING -> deliver(doorman, deltaMembers(policyNode(box, State.DRAINING, policyStartMs)));
            case TERMINATED -> deliver(doorman, deltaMembers(policyNode(box, State.GONE, policyStartMs)));
            case MISSING -> {
                List<RoutingPolicy.Node> members = new ArrayList<>();
                for (SimulatedBox simulatedBox : boxesByNode.values()) {
                    ListEntry otherEntry = listEntry(doorman, simulatedBox.box);
                    double otherStartMs = otherEntry == null || Double.isNaN(otherEntry.startedAtMs)
                            ? 0
                            : POLICY_EPOCH_MS + otherEntry.startedAtMs;
                    if (otherEntry != null && otherEntry.state == RoutingEvent.ListedState.IN_SERVICE) {
                        members.add(policyNode(simulatedBox.box, State.READY, otherStartMs));
                    } else if (otherEntry != null && otherEntry.state == RoutingEvent.ListedState.TERMINATING) {
                        members.add(policyNode(simulatedBox.box, State.DRAINING, otherStartMs));
                    }
                }
                deliver(doorman, new RoutingPolicy.Members(RoutingPolicy.ListKind.FULL, members));
            }
        }
    }

    private static RoutingPolicy.Members deltaMembers(RoutingPolicy.Node node) {
        return new RoutingPolicy.Members(RoutingPolicy.ListKind.DELTA, List.of(node));
    }

    private void purgeObject(long objectId, Fault fault) {
        double purgedAtMs = nowMs;
        firstPurgeMs.putIfAbsent(objectId, purgedAtMs);
        double completeMs = deployment.sharedSettings().purgeCompleteMs();
        for (SimulatedBox simulatedBox : boxesByNode.values()) {
            if (deployment.roleOf(simulatedBox.box) != Deployment.Role.HEAD_OFFICE) {
                double dropDelayMs =
                        random.uniformBetween(completeMs / 4, completeMs, simulatedBox.box.nodeId(), objectId, 23);
                schedule(nowMs + dropDelayMs, () -> dropOlderCopies(simulatedBox, objectId, purgedAtMs));
            }
        }
        for (SimulatedDoorman doorman : doormans) {
            schedule(nowMs + fault.listDelayMs() + random.uniformBetween(0, 20, doorman.index, objectId, 29), () -> {
                doorman.purgeNotices.put(objectId, new double[] {nowMs, purgedAtMs});
                observer.onPurgeNotice(nowMs, doorman.index, objectId);
                deliver(doorman, new RoutingPolicy.Purged(0, objectId, nowMs - purgedAtMs));
            });
        }
    }

    private void dropOlderCopies(SimulatedBox simulatedBox, long objectId, double purgedAtMs) {
        for (int partIndex = 0; partIndex < Workload.MAX_PARTS; partIndex++) {
            SimulatedBox.ObjectPart objectPart = new SimulatedBox.ObjectPart(objectId, partIndex);
            if (copyTimeMs(simulatedBox, objectPart) < purgedAtMs) {
                simulatedBox.dropCopy(objectPart);
            }
        }
    }

    // ---- clients ---------------------------------------------------------------------------------------

    private void startTry(ClientRequest request, int tryNumber, double timeoutMs) {
        SimulatedDoorman doorman = doormans.get(request.doormanIndex());
        OpenTry openTry = new OpenTry();
        openTry.id = ++lastTryId;
        openTry.request = request;
        openTry.tryNumber = tryNumber;
        openTry.arrivedAtMs = nowMs;
        openTry.lastChangeMs = nowMs;
        openTry.timeoutMs = timeoutMs;
        openTry.doorman = doorman;
        RoutingPolicy.RequestClass requestClass = doorman.settings.classes().get(request.classIndex());
        openTry.clientTry = new RoutingEvent.ClientTry(
                openTry.id,
                tryNumber,
                scenario.marksRetries() && tryNumber > 1,
                nowMs,
                request,
                requestClass,
                deployment.classNames().get(request.classIndex()),
                deployment.stationNames().get(doorman.settings.zone()),
                doorman.settings.zone());
        triesById.put(openTry.id, openTry);
        schedule(
                nowMs + timeoutMs + doorman.settings.answerSlackMs() + doorman.settings.tickMs(),
                () -> finishTry(openTry, RoutingEvent.TryOutcome.NONE, 0));
        if (request.leavesAfterMs() > 0 && tryNumber == 1) {
            schedule(nowMs + request.leavesAfterMs(), () -> {
                if (!openTry.finished) {
                    finishTry(openTry, RoutingEvent.TryOutcome.LEFT, 0);
                    deliver(doorman, new RoutingPolicy.Gone(openTry.id));
                }
            });
        }
        deliver(
                doorman,
                new RoutingPolicy.Request(
                        openTry.id,
                        request.classIndex(),
                        0,
                        request.objectId(),
                        request.partIndex(),
                        request.groupId(),
                        timeoutMs,
                        request.sizeKb(),
                        openTry.clientTry.markedAsRepeat(),
                        requestClass.write()));
    }

    private void finishTry(OpenTry openTry, RoutingEvent.TryOutcome outcome, double retryAfterMs) {
        if (openTry.finished) {
            return;
        }
        reportAnswer(openTry, outcome, retryAfterMs, Double.NaN, false);
        boolean safe = openTry.clientTry.requestClass().effect() == RoutingPolicy.Effect.SAFE;
        boolean retries =
                outcome == RoutingEvent.TryOutcome.REFUSED || safe && outcome == RoutingEvent.TryOutcome.FAILED;
        if (retries && openTry.tryNumber <= scenario.maxRetries()) {
            boolean compliant = random.uniform(openTry.request.index(), openTry.tryNumber, 31) < RETRY_AFTER_COMPLIANCE;
            double delayMs = compliant && retryAfterMs > 0 ? retryAfterMs : DEFAULT_RETRY_DELAY_MS;
            schedule(
                    nowMs + delayMs,
                    () -> startTry(openTry.request, openTry.tryNumber + 1, openTry.request.timeoutMs()));
        }
    }

    private void reportAnswer(
            OpenTry openTry,
            RoutingEvent.TryOutcome outcome,
            double retryAfterMs,
            double copyTimeMs,
            boolean purgedCopy) {
        openTry.finished = true;
        double ageMs = nowMs - copyTimeMs;
        boolean stale = openTry.clientTry.requestClass().freshMs() > 0
                && ageMs > openTry.clientTry.requestClass().freshMs();
        double targetMs = openTry.clientTry.requestClass().aimMs()
                + openTry.clientTry.requestClass().aimStretch()
                        * openTry.request.sizeKb()
                        / openTry.doorman.settings.paceKbPerMs();
        int outstanding = 0;
        boolean maybeRan = false;
        for (SentAttempt sent : openTry.attempts) {
            outstanding += sent.completed ? 0 : 1;
            maybeRan |= sent.mayHaveRun;
        }
        observer.onRoutingEvent(new RoutingEvent.Answer(
                nowMs,
                openTry.clientTry,
                outcome,
                retryAfterMs,
                nowMs - openTry.arrivedAtMs,
                nowMs - openTry.lastChangeMs,
                openTry.attempts.size(),
                outstanding,
                maybeRan,
                executions[openTry.request.index()],
                ageMs,
                stale,
                purgedCopy,
                nowMs - openTry.arrivedAtMs > targetMs));
    }

    // ---- doormans --------------------------------------------------------------------------------------

    private void deliver(SimulatedDoorman doorman, RoutingPolicy.Event event) {
        decisions++;
        List<RoutingPolicy.Action> actions = new ArrayList<>(4);
        doorman.policy.handle(POLICY_EPOCH_MS + nowMs, event, actions::add);
        for (RoutingPolicy.Action action : actions) {
            execute(doorman, action);
        }
    }

    private void execute(SimulatedDoorman doorman, RoutingPolicy.Action action) {
        if (action instanceof RoutingPolicy.Get get) {
            sendAttempt(doorman, get);
        } else if (action instanceof RoutingPolicy.Send send) {
            sendAttempt(
                    doorman,
                    new RoutingPolicy.Get(
                            send.request(),
                            send.node(),
                            send.timeoutMs(),
                            send.node(),
                            0,
                            0,
                            false,
                            true,
                            false,
                            false));
        } else if (action instanceof RoutingPolicy.WakeAt wakeAt) {
            schedule(
                    Math.max(nowMs, wakeAt.atMs() - POLICY_EPOCH_MS),
                    () -> deliver(doorman, new RoutingPolicy.Alarm(wakeAt.token())));
        } else if (action instanceof RoutingPolicy.Refuse refuse) {
            finishById(refuse.request(), RoutingEvent.TryOutcome.REFUSED, refuse.pauseMs());
        } else if (action instanceof RoutingPolicy.Fail fail) {
            finishById(fail.request(), RoutingEvent.TryOutcome.FAILED, 0);
        } else if (action instanceof RoutingPolicy.Cancel cancel) {
            OpenTry openTry = triesById.get(cancel.request());
            schedule(nowMs, () -> completeAttempt(openTry, cancel.attempt(), Result.CANCELLED, Note.NONE, Double.NaN));
        } else if (action instanceof RoutingPolicy.Log log) {
            observer.onLog(nowMs, doorman.index, log.line());
        }
    }

    private void finishById(long tryId, RoutingEvent.TryOutcome outcome, double retryAfterMs) {
        OpenTry openTry = triesById.get(tryId);
        if (openTry != null) {
            finishTry(openTry, outcome, retryAfterMs);
        }
    }

    private void sendAttempt(SimulatedDoorman doorman, RoutingPolicy.Get get) {
        OpenTry openTry = triesById.get(get.request());
        SentAttempt sent = new SentAttempt();
        sent.target = boxesByNode.get(get.node());
        sent.source = get.source() == get.node() ? null : boxesByNode.get(get.source());
        sent.sentAtMs = nowMs;
        sent.processGeneration = sent.target.processGeneration;
        double freshMs = openTry.clientTry.requestClass().freshMs();
        sent.maxAgeMs = get.maxAgeMs() > 0 ? get.maxAgeMs() : freshMs;
        observer.onRoutingEvent(attemptEvent(doorman, openTry, sent, get));
        openTry.attempts.add(sent);
        openTry.lastChangeMs = nowMs;
        int attemptIndex = openTry.attempts.size() - 1;
        double timeoutMs = get.timeoutMs() > 0
                ? Math.min(get.timeoutMs(), openTry.arrivedAtMs + openTry.timeoutMs - nowMs)
                : openTry.arrivedAtMs + openTry.timeoutMs - nowMs;
        if (openTry.finished || attemptIndex >= doorman.settings.maxAttempts() || timeoutMs <= 0) {
            schedule(nowMs, () -> completeAttempt(openTry, attemptIndex, Result.MOOT, Note.NONE, Double.NaN));
            return;
        }
        schedule(
                nowMs + timeoutMs, () -> completeAttempt(openTry, attemptIndex, Result.TIMEOUT, Note.NONE, Double.NaN));
        schedule(nowMs + LOCAL_LATENCY_MS, () -> arriveAtBox(doorman, openTry, attemptIndex, sent, get));
    }

    private RoutingEvent.Attempt attemptEvent(
            SimulatedDoorman doorman, OpenTry openTry, SentAttempt sent, RoutingPolicy.Get get) {
        int outstanding = 0;
        boolean maybeRan = false;
        boolean leavesGroup = false;
        for (SentAttempt other : openTry.attempts) {
            outstanding += other.completed ? 0 : 1;
            maybeRan |= other.mayHaveRun;
            leavesGroup |= other.mayHaveRun
                    && !dropsRepeats(openTry.clientTry.requestClass(), other.target.box, sent.target.box);
        }
        double sincePreviousMs = openTry.attempts.isEmpty()
                ? Double.NaN
                : nowMs - openTry.attempts.get(openTry.attempts.size() - 1).sentAtMs;
        double[] purgeNotice = doorman.purgeNotices.get(openTry.request.objectId());
        double sinceGraceMs = purgeNotice == null ? 0 : nowMs - purgeNotice[0] - doorman.settings.purgeGraceMs();
        // Once the purge is complete, boxes hold no older copies and the attempt needs no age limit.
        boolean purgeApplies =
                purgeNotice != null && sinceGraceMs > 0 && nowMs - purgeNotice[1] < doorman.settings.purgeCompleteMs();
        boolean allowsPurgedCopy = purgeApplies && (sent.maxAgeMs == 0 || nowMs - sent.maxAgeMs < purgeNotice[1]);
        return new RoutingEvent.Attempt(
                nowMs,
                openTry.clientTry,
                boxView(doorman, openTry, sent.target),
                sent.source == null ? null : boxView(doorman, openTry, sent.source),
                openTry.attempts.size() + 1,
                sincePreviousMs,
                outstanding,
                maybeRan,
                leavesGroup,
                get.rank(),
                get.join(),
                get.onlyHeld(),
                get.renew(),
                sent.maxAgeMs,
                allowsPurgedCopy,
                openTry.arrivedAtMs + openTry.timeoutMs - nowMs,
                openTry.finished);
    }

    /** Returns whether one box drops the repeats of a keyed request that the other has seen; true for other requests. */
    private static boolean dropsRepeats(RoutingPolicy.RequestClass requestClass, Box one, Box other) {
        if (requestClass.effect() != RoutingPolicy.Effect.KEYED) {
            return true;
        }
        return switch (requestClass.scope()) {
            case ALL -> true;
            case ZONE -> one.zoneIndex() == other.zoneIndex();
            case CELL -> one.cell() == other.cell();
        };
    }

    private RoutingEvent.BoxView boxView(SimulatedDoorman doorman, OpenTry openTry, SimulatedBox simulatedBox) {
        ListEntry entry = listEntry(doorman, simulatedBox.box);
        double warmAfterMs = deployment.roleOf(simulatedBox.box) == Deployment.Role.DISTRICT
                ? doorman.settings.coldParent().warmAfterMs()
                : doorman.settings.coldCache().warmAfterMs();
        double coldForMs =
                entry != null && nowMs - entry.startedAtMs < warmAfterMs ? nowMs - entry.startedAtMs : Double.NaN;
        int earlierAttempts = 0;
        for (SentAttempt sent : openTry.attempts) {
            earlierAttempts += sent.target == simulatedBox ? 1 : 0;
        }
        return new RoutingEvent.BoxView(
                simulatedBox.box,
                deployment.roleOf(simulatedBox.box),
                deployment.modelNames().get(simulatedBox.box.modelIndex()),
                deployment.stationNames().get(simulatedBox.box.zoneIndex()),
                simulatedBox.box.zoneIndex() == doorman.settings.zone(),
                entry == null ? RoutingEvent.ListedState.MISSING : entry.state,
                entry == null ? Double.NaN : nowMs - entry.updatedAtMs,
                simulatedBox.state,
                coldForMs,
                simulatedBox.activeFault(nowMs),
                simulatedBox.pressure(nowMs, true, slackMs),
                simulatedBox.pressure(nowMs, false, slackMs),
                earlierAttempts);
    }

    // ---- boxes -----------------------------------------------------------------------------------------

    private boolean knowsLastStart(SimulatedDoorman doorman, SimulatedBox simulatedBox) {
        ListEntry entry = listEntry(doorman, simulatedBox.box);
        return entry != null && entry.startedAtMs >= simulatedBox.startedAtMs;
    }

    private void arriveAtBox(
            SimulatedDoorman doorman, OpenTry openTry, int attemptIndex, SentAttempt sent, RoutingPolicy.Get get) {
        if (sent.completed) {
            return;
        }
        SimulatedBox target = sent.target;
        double workMs = openTry.request.sizeKb() / doorman.settings.paceKbPerMs();
        target.recordLoad(
                nowMs, scenario.meanWorkMs().get(openTry.request.classIndex()), knowsLastStart(doorman, target));
        if (!target.running || sent.processGeneration != target.processGeneration) {
            schedule(
                    nowMs + LOCAL_LATENCY_MS,
                    () -> completeAttempt(openTry, attemptIndex, Result.CONNECT_FAILED, Note.NONE, Double.NaN));
        } else if (nowMs < target.hangsUntilMs) {
            // The box does not respond; the timeout ends the attempt.
            target.activeRequests++;
        } else if (nowMs < target.fullUntilMs) {
            schedule(
                    nowMs + LOCAL_LATENCY_MS,
                    () -> completeAttempt(openTry, attemptIndex, Result.FULL, Note.NONE, Double.NaN));
        } else if (nowMs < target.failsUntilMs
                && random.uniform(openTry.request.index(), openTry.tryNumber * 16L + attemptIndex, 41)
                        < target.failShare) {
            schedule(
                    nowMs + LOCAL_LATENCY_MS,
                    () -> completeAttempt(openTry, attemptIndex, Result.ERROR, Note.NONE, Double.NaN));
        } else {
            target.activeRequests++;
            serveAttempt(doorman, openTry, attemptIndex, sent, get, workMs);
        }
    }

    private void serveAttempt(
            SimulatedDoorman doorman,
            OpenTry openTry,
            int attemptIndex,
            SentAttempt sent,
            RoutingPolicy.Get get,
            double workMs) {
        SimulatedBox target = sent.target;
        Deployment.Role role = deployment.roleOf(target.box);
        SimulatedBox.ObjectPart objectPart =
                new SimulatedBox.ObjectPart(openTry.request.objectId(), openTry.request.partIndex());
        double transferMs = workMs * target.slowdownFactor(nowMs);
        boolean write = openTry.clientTry.requestClass().write();
        double copyTimeMs = write ? Double.NaN : copyTimeMs(target, objectPart);
        boolean freshEnough = sent.maxAgeMs == 0 || nowMs - copyTimeMs <= sent.maxAgeMs;
        if (role == Deployment.Role.HEAD_OFFICE) {
            countExecution(openTry);
            schedule(
                    nowMs + ORIGIN_LATENCY_MS + transferMs,
                    () -> completeAttempt(openTry, attemptIndex, Result.OK, Note.FILLED, nowMs));
        } else if (!Double.isNaN(copyTimeMs) && freshEnough) {
            countExecution(openTry);
            schedule(nowMs + transferMs, () -> completeAttempt(openTry, attemptIndex, Result.OK, Note.HIT, copyTimeMs));
        } else if (get.join() && target.fillReadyMs.getOrDefault(objectPart, 0.0) > nowMs) {
            countExecution(openTry);
            double fillReadyMs = target.fillReadyMs.get(objectPart);
            schedule(
                    fillReadyMs + transferMs,
                    () -> completeAttempt(openTry, attemptIndex, Result.OK, Note.JOINED, fillReadyMs));
        } else if (sent.source == null || get.onlyHeld() && Double.isNaN(copyTimeMs(sent.source, objectPart))) {
            schedule(
                    nowMs + LOCAL_LATENCY_MS,
                    () -> completeAttempt(openTry, attemptIndex, Result.MISS, Note.NONE, Double.NaN));
        } else {
            fillFromSource(doorman, openTry, attemptIndex, sent, get.rank(), objectPart, transferMs);
        }
    }

    private void fillFromSource(
            SimulatedDoorman doorman,
            OpenTry openTry,
            int attemptIndex,
            SentAttempt sent,
            int rank,
            SimulatedBox.ObjectPart objectPart,
            double transferMs) {
        SimulatedBox source = sent.source;
        boolean linkDown = nowMs < linkLostUntilMs.getOrDefault(sent.target.box.zoneIndex(), 0.0);
        source.recordLoad(
                nowMs, scenario.meanWorkMs().get(openTry.request.classIndex()), knowsLastStart(doorman, source));
        if (linkDown || source.running && nowMs < source.hangsUntilMs) {
            schedule(
                    nowMs + FILL_TIMEOUT_MS,
                    () -> completeAttempt(openTry, attemptIndex, Result.FULL, Note.SOURCE_FAILED, Double.NaN));
        } else if (!source.running) {
            schedule(
                    nowMs + REMOTE_LATENCY_MS,
                    () -> completeAttempt(openTry, attemptIndex, Result.FULL, Note.SOURCE_FAILED, Double.NaN));
        } else if (nowMs < source.fullUntilMs) {
            schedule(
                    nowMs + REMOTE_LATENCY_MS,
                    () -> completeAttempt(openTry, attemptIndex, Result.FULL, Note.SOURCE_REFUSED, Double.NaN));
        } else {
            double sourceCopyTimeMs = copyTimeMs(source, objectPart);
            boolean freshEnough = !Double.isNaN(sourceCopyTimeMs)
                    && (sent.maxAgeMs == 0 || nowMs - sourceCopyTimeMs <= sent.maxAgeMs);
            boolean fromOrigin = deployment.roleOf(source.box) == Deployment.Role.HEAD_OFFICE
                    || openTry.clientTry.requestClass().write()
                    || !freshEnough;
            double fillMs = (REMOTE_LATENCY_MS + (fromOrigin ? ORIGIN_LATENCY_MS : 0)) * source.slowdownFactor(nowMs);
            double copyTimeMs = fromOrigin ? nowMs + fillMs / 2 : sourceCopyTimeMs;
            double fillReadyMs = nowMs + fillMs;
            countExecution(openTry);
            if (!openTry.clientTry.requestClass().write()) {
                sent.target.fillReadyMs.merge(objectPart, fillReadyMs, Math::max);
                schedule(fillReadyMs, () -> {
                    if (fromOrigin && deployment.roleOf(source.box) == Deployment.Role.DISTRICT) {
                        source.storeCopy(objectPart, copyTimeMs);
                    }
                    if (rank > 0 && sent.processGeneration == sent.target.processGeneration) {
                        sent.target.storeCopy(objectPart, copyTimeMs);
                    }
                });
            }
            schedule(
                    fillReadyMs + transferMs,
                    () -> completeAttempt(openTry, attemptIndex, Result.OK, Note.FILLED, copyTimeMs));
        }
    }

    private void countExecution(OpenTry openTry) {
        executions[openTry.request.index()]++;
    }

    /**
     * The time of the copy of a part that a box holds, NaN if it holds none. The copy was stored during the simulation
     * or is one that the box is assumed to hold from the start.
     */
    private double copyTimeMs(SimulatedBox simulatedBox, SimulatedBox.ObjectPart objectPart) {
        double storedTimeMs = simulatedBox.copyTimeMs(objectPart);
        if (!Double.isNaN(storedTimeMs)
                || deployment.roleOf(simulatedBox.box) == Deployment.Role.HEAD_OFFICE
                || !Double.isNaN(simulatedBox.startedAtMs)) {
            return storedTimeMs;
        }
        boolean initiallyHeld =
                random.uniform(simulatedBox.box.nodeId(), objectPart.objectId(), 51) < INITIAL_COPY_SHARE
                        && objectPart.objectId() < Workload.FIRST_SINGLE_USE_OBJECT;
        double initialTimeMs =
                -random.uniformBetween(1_000, 15_000, simulatedBox.box.nodeId(), objectPart.objectId(), 53);
        Double purgedAtMs = firstPurgeMs.get(objectPart.objectId());
        boolean dropped = purgedAtMs != null
                && nowMs - purgedAtMs >= deployment.sharedSettings().purgeCompleteMs() / 2;
        return initiallyHeld && !dropped ? initialTimeMs : Double.NaN;
    }

    private void completeAttempt(OpenTry openTry, int attemptIndex, Result result, Note note, double copyTimeMs) {
        SentAttempt sent = openTry.attempts.get(attemptIndex);
        if (sent.completed) {
            return;
        }
        sent.completed = true;
        sent.mayHaveRun = result.mayHaveRun();
        if (sent.processGeneration == sent.target.processGeneration) {
            sent.target.activeRequests = Math.max(0, sent.target.activeRequests - 1);
        }
        openTry.lastChangeMs = nowMs;
        SimulatedDoorman doorman = openTry.doorman;
        if (result == Result.OK && !openTry.finished) {
            double[] purgeNotice = doorman.purgeNotices.get(openTry.request.objectId());
            boolean purgedCopy = purgeNotice != null
                    && sent.sentAtMs > purgeNotice[0] + doorman.settings.purgeGraceMs()
                    && copyTimeMs < purgeNotice[1];
            reportAnswer(openTry, RoutingEvent.TryOutcome.SERVED, 0, copyTimeMs, purgedCopy);
        }
        Note reportedNote =
                switch (doorman.settings.notes()) {
                    case ALL -> note;
                    case HIT -> note == Note.HIT || note == Note.FILLED || note == Note.JOINED ? note : Note.NONE;
                    case NONE -> Note.NONE;
                };
        RoutingPolicy.Outcome outcome = new RoutingPolicy.Outcome(
                openTry.id,
                attemptIndex,
                sent.target.box.nodeId(),
                result,
                nowMs - sent.sentAtMs,
                openTry.finished,
                reportedNote,
                0,
                List.of());
        observer.onOutcome(nowMs, doorman.index, outcome);
        deliver(doorman, outcome);
    }
}
