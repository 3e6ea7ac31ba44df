package barleyspur.decision;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;

/**
 * The routing policy of one doorman: it decides which cache serves a request, where a miss is filled from
 * and which copies are kept.
 *
 * <p>The ordinary path, {@link #route}, is least-recently-lost (LRL) replication from "Adaptive Content
 * Replication in Edge-Assisted CDNs (loss-network model)": an object gains a copy when a request for it
 * finds all caches that are believed to hold it busy. This is called a loss. Each guard around the ordinary
 * path documents the failure that it prevents and the case in which it could do harm.
 *
 * <p>Comments refer to five rules by number: (1) one final answer to each request before its deadline, (2)
 * no effect of a request twice, (3) no new work for a node that is not ready, (4) no more work for a cold
 * node than its budget, (5) no copy from before a purge.
 */
public final class LeastRecentlyLostPolicy implements RoutingPolicy {

    // ---- Tuned values. Times are in milliseconds. -------------------------------------------------------

    /**
     * How long after its last sign a copy is believed to be held: about as long as caches with pooled
     * storage keep one.
     */
    private static final double COPY_BELIEF_MS = 10_000;
    /** The most object parts whose copies are tracked. */
    private static final int MAX_TRACKED_PARTS = 20_000;
    /** The most objects remembered as recently lost. Their copies take the top rank. */
    private static final int MAX_LOST_OBJECTS = 64;
    /** The rank of copies of objects on the list of recently lost ones. */
    private static final int RANK_AFTER_LOSS = 3;
    /** The rank of all other copies: first fills and hits. */
    private static final int RANK_DEFAULT = 2;
    /** The weight of the newest sample in a node's error share and share of late hits. */
    private static final double SAMPLE_WEIGHT = 1 / 6.0;
    /** The error share above which a node is excluded, unless its peers do no better. */
    private static final double MAX_ERROR_SHARE = 0.4;
    /**
     * The number of refused fills in a row after which their source is excluded. Only the first refusal in
     * a row of each cache counts.
     */
    private static final int MAX_SOURCE_REFUSALS = 3;
    /**
     * The number of overdue fills in a row, with none served in between, after which their source is
     * excluded if it is also late more often than its peers.
     */
    private static final int MAX_OVERDUE_FILLS = 5;
    /**
     * How long a node is excluded at first before it is tried again. The time doubles with each failure.
     */
    private static final double MIN_EXCLUSION_MS = 500;
    /** The longest time that a node is excluded before it is tried again. */
    private static final double MAX_EXCLUSION_MS = 2_000;
    /** The number of trials in a row that must succeed to end the exclusion of a node. */
    private static final int REQUIRED_TRIALS = 3;
    /** If fewer than this share of the location's caches is usable, exclusions are ignored. */
    private static final double MIN_USABLE_SHARE = 0.34;
    /** Retry tokens that the first attempt of each request adds when it ends. A further attempt costs one. */
    private static final double RETRY_TOKENS_PER_REQUEST = 0.3;
    /** The most retry tokens that are saved up. */
    private static final double MAX_RETRY_TOKENS = 30;
    /**
     * Backup tokens added by a hit that is unanswered past its latency target, or taken by a hit answered
     * late. A backup attempt costs one token.
     */
    private static final double BACKUP_TOKENS_PER_HIT = 3;
    /** The most backup tokens that are saved up. */
    private static final double MAX_BACKUP_TOKENS = 10;
    /** The share of late answers above which a concurrency limit is decreased. */
    private static final double MAX_LATE_SHARE = 0.25;
    /** The factor by which a concurrency limit is decreased. */
    private static final double LIMIT_DECREASE_FACTOR = 0.85;
    /** The shortest time between two decreases of the same limit. */
    private static final double LIMIT_DECREASE_INTERVAL_MS = 500;
    /** The lowest value of a limit. Under 1 a limit admits only a share of the requests. */
    private static final double MIN_LIMIT = 0.1;
    /** The initial limit on requests that bypass the caches. Answers in time raise it. */
    private static final double INITIAL_BYPASS_LIMIT = 2;
    /** The load report field with the load of a cache under the traffic of all doormans. */
    private static final String LOAD_FIELD = "load_share";
    /** The reported load from which on a cache gets no backup attempts. */
    private static final double MAX_BACKUP_LOAD = 0.85;
    /** The number of nodes that may answer a request with an error before it is given up. */
    private static final int MAX_ERRING_NODES = 3;
    /** The least remaining time, in ticks, in which another attempt is still made. */
    private static final double MIN_REMAINING_TICKS = 5;
    /** The factor by which the priority of a request may at most raise or lower a limit for it. */
    private static final double MAX_PRIORITY = 4;
    /** The weight of the newest request in the mean worth and the mean work of requests. */
    private static final double DEMAND_SAMPLE_WEIGHT = 0.02;
    /** The time constant of the average work that nodes serve. */
    private static final double THROUGHPUT_SPAN_MS = 10_000;
    /** The share of a cold node's budget that is used: about as much as the node can answer in time. */
    private static final double COLD_BUDGET_SHARE = 0.25;
    /** The most objects, and the most groups, whose purges are remembered. */
    private static final int MAX_REMEMBERED_PURGES = 4_096;
    /** The delay before a subscription to the list of nodes is requested again after a failure. */
    private static final double RESUBSCRIBE_DELAY_MS = 1_000;

    // ---- State -----------------------------------------------------------------------------------------

    private Settings settings;
    private final SplittableRandom random;
    private final NodeDirectory nodes;
    /**
     * Pending requests by id. It is never iterated, as its order is undefined. An entry is removed once the
     * request is closed and all its attempts have ended.
     */
    private final Map<Long, OpenRequest> openRequests = new HashMap<>();

    private final LruMap<PartKey, CopyLocations> copyLocations = new LruMap<>(MAX_TRACKED_PARTS);
    private final LruMap<Long, Boolean> lostObjects = new LruMap<>(MAX_LOST_OBJECTS);
    private final LruMap<Long, Double> purgedObjects = new LruMap<>(MAX_REMEMBERED_PURGES);
    private final LruMap<Integer, Double> purgedGroups = new LruMap<>(MAX_REMEMBERED_PURGES);
    private final WorkEstimator workEstimator;
    private final PeerThroughput cacheThroughput = new PeerThroughput(THROUGHPUT_SPAN_MS);
    private final PeerThroughput parentThroughput = new PeerThroughput(THROUGHPUT_SPAN_MS);
    private double retryTokens = MAX_RETRY_TOKENS;
    private double backupTokens;
    /** The limit on fills through the caches of this location. */
    private final ConcurrencyLimit cacheFillLimit = new ConcurrencyLimit();
    /**
     * The limit on requests that bypass the caches and go straight to a parent or the origin. It starts
     * low, as nothing is known about this path, and grows with answers in time.
     */
    private final ConcurrencyLimit bypassLimit = new ConcurrencyLimit(INITIAL_BYPASS_LIMIT);

    private boolean subscribed;
    /** The mean worth of recent requests. */
    private double meanWorth;
    /** The mean work of recent requests, in milliseconds. */
    private double meanWorkMs;
    /** The priority of the request that is being routed, by which limits are multiplied. */
    private double priority = 1;
    /** {@link OpenRequest#admissionPosition} of the request that is being routed. */
    private double admissionPosition;

    private double nowMs;
    private Consumer<Action> actions;

    /**
     * Creates a policy that knows nothing but its settings. The seed makes its random choices repeatable.
     */
    public LeastRecentlyLostPolicy(Settings settings, long seed) {
        this.settings = settings;
        this.random = new SplittableRandom(seed);
        this.nodes = new NodeDirectory(settings);
        this.workEstimator = new WorkEstimator(settings.classes());
    }

    @Override
    public void handle(double eventTimeMs, Event event, Consumer<Action> sink) {
        nowMs = eventTimeMs;
        actions = sink;
        if (event instanceof Request request) {
            onRequest(request);
        } else if (event instanceof Outcome outcome) {
            onOutcome(outcome);
        } else if (event instanceof Alarm alarm) {
            onAlarm(alarm.token());
        } else if (event instanceof Gone gone && openRequests.containsKey(gone.request())) {
            OpenRequest withdrawn = openRequests.get(gone.request());
            withdrawn.withdrawn = true;
            close(withdrawn);
        } else if (event instanceof Members members) {
            onMembers(members);
        } else if (event instanceof Purged purge) {
            onPurged(purge);
        } else if (event instanceof FirstByte firstByte && openRequests.containsKey(firstByte.request())) {
            openRequests.get(firstByte.request()).closed = true;
        } else if (event instanceof Retuned retune) {
            settings = retune.settings();
            workEstimator.addClasses(settings.classes());
        }
    }

    /** Returns the number of requests that are not closed, or of which an attempt has not ended. */
    public int openRequestCount() {
        return openRequests.size();
    }

    // ---- The ordinary path -----------------------------------------------------------------------------

    private void onRequest(Request request) {
        double sampleWeight = meanWorkMs == 0 ? 1 : DEMAND_SAMPLE_WEIGHT;
        meanWorth += (settings.classes().get(request.classIndex()).worth() - meanWorth) * sampleWeight;
        // The mean of the class, as the size that this request names is not confirmed yet.
        meanWorkMs += (workEstimator.meanMs(request.classIndex()) - meanWorkMs) * sampleWeight;
        OpenRequest pending = new OpenRequest(request, nowMs + request.remainingMs(), random.nextDouble());
        openRequests.put(request.id(), pending);
        // Rule 1: the clock advances in ticks, so an alarm that is surely in time is set two ticks early.
        actions.accept(new WakeAt(pending.deadlineMs - 2 * settings.tickMs(), request.id()));
        route(pending);
        if (settings.mayDuplicate()
                && settings.classes().get(request.classIndex()).effect() == Effect.SAFE) {
            actions.accept(new WakeAt(nowMs + latencyTargetMs(pending) / 2, AlarmToken.backup(request.id())));
        }
    }

    /**
     * Handles the backup timer, which is due at half the latency target. If the cache has answered nothing
     * since the attempt was sent, the request is retried elsewhere. Otherwise a backup attempt goes to
     * another free holder, or to the first target again. Backup tokens, which unanswered hits add and late
     * hits take away, keep backups from feeding congestion.
     */
    private void sendBackup(OpenRequest pending) {
        Attempt first = pending.attempts.size() == 1 ? pending.attempts.get(0) : null;
        boolean silent = first != null && first.target.lastAnswerMs < first.sentAtMs && retryTokens >= 1;
        if (first == null || first.ended || backupTokens < 1 && !silent) {
            return;
        }
        if (silent) {
            retryOrGiveUp(pending, false);
            return;
        }
        priority = priorityOf(pending.request);
        admissionPosition = pending.admissionPosition;
        List<TrackedNode> holders =
                holders(pending.request, copyLocations.get(PartKey.of(pending.request)), candidates(pending));
        List<TrackedNode> free = ListUtils.filter(holders, node -> !pending.hasTried(node) && isFree(node));
        TrackedNode target = free.isEmpty() ? first.target : pickRandom(free);
        boolean mayServe = nodes.caches.contains(target)
                && coldBudgetAllows(target, workEstimator.meanMs(pending.request.classIndex()));
        if (mayServe && target.reportedLoad < MAX_BACKUP_LOAD && !isAtLimit(target.attemptLimit)) {
            backupTokens--;
            boolean fill = free.isEmpty() && first.fill;
            sendAttempt(pending, target, first.fill ? chooseSource(pending, fill) : target, first.rank, fill);
        }
    }

    /**
     * Routes a request by LRL replication: to a cache that holds the object and is free, otherwise as a
     * fill that is kept at the next cache.
     */
    private void route(OpenRequest pending) {
        priority = priorityOf(pending.request);
        admissionPosition = pending.admissionPosition;
        boolean attemptsSpent = pending.attempts.size() >= settings.maxAttempts();
        if (attemptsSpent || pending.deadlineMs - nowMs < MIN_REMAINING_TICKS * settings.tickMs()) {
            giveUp(pending);
            return;
        }
        List<TrackedNode> caches = candidates(pending);
        if (caches.isEmpty()) {
            bypassCaches(pending);
            return;
        }
        boolean copyMayBeKept =
                !settings.classes().get(pending.request.classIndex()).write() && !pending.request.write();
        CopyLocations copies = copyMayBeKept ? copyLocations.get(PartKey.of(pending.request)) : null;
        TrackedNode fillingCache =
                copies == null || copies.openFills == 0 ? null : nodes.listed.get(copies.fillingCache);
        List<TrackedNode> holders = holders(pending.request, copies, caches);
        List<TrackedNode> free = ListUtils.filter(holders, this::isFree);
        if (!copyMayBeKept) {
            send(pending, pickRandom(caches), 0, true);
        } else if (!free.isEmpty()) {
            send(pending, pickRandom(free), copyRank(pending.request), false);
        } else if (caches.contains(fillingCache)) {
            // A fill in progress is no loss: the request joins it at its cache.
            send(pending, fillingCache, copyRank(pending.request), true);
        } else {
            handleLoss(pending, caches, holders);
        }
    }

    /**
     * Returns whether a limit is reached for the request that is being routed. While many answers are late,
     * a limit admits only as many attempts as were answered in time. It guards against congestion of a
     * cache, the location's link, a parent or the origin, during which open fills occupy the slots of the
     * caches and hits are refused. It reacts to slowness of any cause, and could do harm where answers are
     * late for a reason other than their number.
     */
    private boolean isAtLimit(ConcurrencyLimit limit) {
        return limit.inFlight + admissionPosition >= limit.max * priority;
    }

    /**
     * Adapts a limit to an answer: additive increase after an answer in time, multiplicative decrease once
     * too many answers are late.
     */
    private void adaptLimit(ConcurrencyLimit limit, boolean late, boolean mayDecrease) {
        limit.lateShare += ((late ? 1 : 0) - limit.lateShare) * SAMPLE_WEIGHT / 2;
        if (!late) {
            limit.max += Math.min(limit.max / 2, 1 / limit.max);
        } else if (mayDecrease
                && limit.lateShare > MAX_LATE_SHARE
                && nowMs - limit.lastDecreaseMs > LIMIT_DECREASE_INTERVAL_MS) {
            limit.max = Math.max(MIN_LIMIT, Math.min(limit.max, limit.inFlight) * LIMIT_DECREASE_FACTOR);
            limit.lastDecreaseMs = nowMs;
        }
    }

    /**
     * Records once for each attempt whether it was late: at its latency target if it is still in flight
     * then, otherwise when it ends. A late hit counts against its cache. A late fill counts against the
     * node that is late far more often than its peers, or else against the path that it took. It guards
     * against nodes that take requests and never answer: they are noticed as early as slow ones, and fills
     * by way of other nodes stay admitted. It could do harm where a latency target is too short.
     */
    private void recordLateness(Attempt attempt, boolean late, boolean targetAtFault, boolean sourceAtFault) {
        if (attempt.latenessRecorded) {
            return;
        }
        attempt.latenessRecorded = true;
        attempt.target.lateHitShare +=
                attempt.fill ? 0 : ((late ? 1 : 0) - attempt.target.lateHitShare) * SAMPLE_WEIGHT;
        // If a cache's hits are late too, the cache itself is overloaded: its late fills say nothing of the
        // path.
        boolean overloaded = attempt.target.lateHitShare > MAX_LATE_SHARE;
        adaptLimit(attempt.target.attemptLimit, late, targetAtFault || overloaded);
        if (attempt.fetchesFromSource()) {
            adaptLimit(attempt.source.sourceLimit, late, sourceAtFault);
        }
        if (attempt.fill && !attempt.joinsOpenFill && !(late && (sourceAtFault || overloaded))) {
            adaptLimit(pathLimit(attempt), late, true);
        }
    }

    /**
     * Returns the limit of the path that an attempt takes, which applies besides the limits of its nodes.
     */
    private ConcurrencyLimit pathLimit(Attempt attempt) {
        return nodes.isCache(attempt.target) ? cacheFillLimit : bypassLimit;
    }

    /** Handles an attempt that has reached its latency target or the deadline of its request. */
    private void onOverdue(Attempt attempt) {
        if (!attempt.ended) {
            recordLateness(attempt, true, attempt.expectsHit || isTargetLate(attempt), isSourceLate(attempt));
            if (attempt.fetchesFromSource()
                    && ++attempt.source.overdueFillsInRow >= MAX_OVERDUE_FILLS
                    && !attempt.source.excluded
                    && isSourceLate(attempt)) {
                exclude(attempt.source, "serves nothing in time");
            }
        }
    }

    private boolean isTargetLate(Attempt attempt) {
        return isWorseThanPeers(attempt.target, node -> node.attemptLimit.lateShare);
    }

    /**
     * Returns whether an attempt's source is late far more often than its peers. At least one peer must not
     * be excluded, as an excluded node serves nothing, is never late and so gives no measure.
     */
    private boolean isSourceLate(Attempt attempt) {
        return attempt.source != null
                && isWorseThanPeers(attempt.source, node -> node.sourceLimit.lateShare)
                && !ListUtils.filter(
                                nodes.peers(attempt.source),
                                otherPeer -> otherPeer != attempt.source && !otherPeer.excluded)
                        .isEmpty();
    }

    private void recordOutcomeLateness(OpenRequest pending, Attempt attempt, Outcome outcome) {
        boolean late = outcome.latencyMs() > latencyTargetMs(pending);
        boolean full = outcome.result() == Result.FULL;
        boolean withoutNote = outcome.note() == Note.NONE && settings.notes() == Notes.ALL;
        boolean refusedByTarget = full && (outcome.note() == Note.NO_FILL_PLACE || withoutNote);
        boolean sourceIsNoted = outcome.note() == Note.SOURCE_FAILED || outcome.note() == Note.SOURCE_REFUSED;
        boolean failed = late || outcome.result() != Result.OK;
        if (late || full || outcome.result() == Result.OK || outcome.result() == Result.TIMEOUT) {
            boolean served = outcome.note() == Note.HIT || settings.notes() != Notes.ALL;
            boolean targetAtFault = attempt.expectsHit && served
                    || refusedByTarget
                    || failed && !sourceIsNoted && isTargetLate(attempt);
            recordLateness(attempt, failed, targetAtFault, sourceIsNoted || failed && isSourceLate(attempt));
        }
    }

    private double latencyTargetMs(OpenRequest pending) {
        return settings.classes().get(pending.request.classIndex()).latencyTargetMs(workMs(pending.request));
    }

    /**
     * Returns the factor, around 1, by which limits are multiplied for a request: its worth for its work
     * against the mean. Where limits are reached, the requests worth most for their work are admitted
     * first.
     */
    double priorityOf(Request request) {
        double density = settings.classes().get(request.classIndex()).worth() / Math.max(1, workMs(request));
        return Math.max(1 / MAX_PRIORITY, Math.min(MAX_PRIORITY, density * meanWorkMs / meanWorth));
    }

    /** Handles a loss: all believed holders are busy, or there are none. */
    private void handleLoss(OpenRequest pending, List<TrackedNode> caches, List<TrackedNode> holders) {
        // A client's repeat or a retry of this policy is no new demand and adds no copy.
        boolean isNewDemand = !pending.request.repeat() && pending.attempts.isEmpty();
        if (!holders.isEmpty()) {
            if (!isNewDemand) {
                send(pending, leastBusy(holders), copyRank(pending.request), false);
                return;
            }
            lostObjects.put(pending.request.object(), true);
        }
        TrackedNode next = null;
        double best = 0;
        long key = Rendezvous.mix(pending.request.object()) + pending.request.part();
        boolean anyBelowLimit =
                !ListUtils.filter(caches, node -> !isAtLimit(node.attemptLimit)).isEmpty();
        for (TrackedNode node : caches) {
            if (anyBelowLimit && isAtLimit(node.attemptLimit)) {
                continue;
            }
            double score = holders.contains(node) ? -1 : Rendezvous.score(key, node.hash, node.weight, 0);
            if (next == null || score > best) {
                next = node;
                best = score;
            }
        }
        boolean allHold = holders.contains(next);
        if (allHold || !isAtLimit(cacheFillLimit)) {
            send(pending, allHold ? leastBusy(holders) : next, copyRank(pending.request), !allHold);
        } else if (isAtLimit(next.attemptLimit) || isCold(next)) {
            bypassCaches(pending);
        } else {
            // No fill is admitted. Another doorman may have filled the object at the same cache, as all of
            // them choose it by the same hash, so the cache is asked for a copy without a fill.
            sendAttempt(pending, next, next, copyRank(pending.request), false);
        }
    }

    private int copyRank(Request request) {
        return lostObjects.containsKey(request.object()) ? RANK_AFTER_LOSS : RANK_DEFAULT;
    }

    private List<TrackedNode> holders(Request request, CopyLocations copies, List<TrackedNode> caches) {
        if (copies == null) {
            return List.of();
        }
        double validFromMs = Math.max(nowMs - COPY_BELIEF_MS, lastPurgeMs(request));
        return ListUtils.filter(caches, node -> {
            Double lastSeenMs = copies.lastSeenMsByCache.get(node.id());
            return lastSeenMs != null && lastSeenMs > Math.max(validFromMs, node.copiesValidFromMs);
        });
    }

    /**
     * Returns whether a holder is free: below its limit, and with fewer hits in flight from this doorman
     * than the mean over the location's caches plus one.
     */
    private boolean isFree(TrackedNode node) {
        return !isAtLimit(node.attemptLimit)
                && node.hitsInFlight < 1 + (double) nodes.hitsInFlight / nodes.caches.size();
    }

    private TrackedNode leastBusy(List<TrackedNode> candidates) {
        int[] least = {Integer.MAX_VALUE};
        candidates.forEach(node -> least[0] = Math.min(least[0], node.hitsInFlight));
        return pickRandom(ListUtils.filter(candidates, node -> node.hitsInFlight == least[0]));
    }

    private TrackedNode pickRandom(List<TrackedNode> candidates) {
        return candidates.get(random.nextInt(candidates.size()));
    }

    // ---- Candidates ------------------------------------------------------------------------------------

    /**
     * Returns the location's caches that may take this request. Usable caches that the request has not
     * tried come first. An unreachable cache is never a candidate, however few are left: if a whole
     * location is lost, its requests bypass it.
     */
    private List<TrackedNode> candidates(OpenRequest pending) {
        double workMs = workEstimator.meanMs(pending.request.classIndex());
        List<TrackedNode> reachable =
                ListUtils.filter(nodes.caches, candidate -> !candidate.unreachable || isUsable(candidate));
        List<TrackedNode> local =
                ListUtils.filter(reachable, node -> mayTake(pending, node) && coldBudgetAllows(node, workMs));
        List<TrackedNode> inUse = ListUtils.filter(local, this::isUsable);
        List<TrackedNode> preferred = inUse.size() < MIN_USABLE_SHARE * local.size() ? local : inUse;
        List<TrackedNode> untriedUsable = ListUtils.filter(preferred, node -> !pending.hasTried(node));
        if (!untriedUsable.isEmpty()) {
            return untriedUsable;
        }
        List<TrackedNode> untried = ListUtils.filter(local, node -> !pending.hasTried(node));
        return untried.isEmpty() ? preferred : untried;
    }

    /** Rule 2: returns whether a node may take this request, given its earlier attempts. */
    private boolean mayTake(OpenRequest pending, TrackedNode node) {
        return RepeatRule.allows(
                settings.classes().get(pending.request.classIndex()),
                pending.attempts,
                RepeatRule.Group.of(node.listing),
                nowMs,
                settings.tickMs());
    }

    /**
     * Returns the source of a fill: the parent with the highest rendezvous score for the object, or the
     * origin if no parent is usable. A request that is expected to hit may still turn into a fill that no
     * budget covers, so for it ({@code fill} false) no cold parent is named.
     */
    private TrackedNode chooseSource(OpenRequest pending, boolean fill) {
        // While the origin fails more often than a parent, the parent is not at fault for what it lacks and
        // still serves what it holds, so it is named although it is excluded.
        double originErrorShare = nodes.origin == null ? 0 : nodes.origin.errorShare;
        double excusedShare = originErrorShare > MAX_ERROR_SHARE ? originErrorShare : 0;
        double workMs = workEstimator.meanMs(pending.request.classIndex());
        TrackedNode first = null;
        TrackedNode belowLimit = null;
        double firstScore = 0;
        double belowLimitScore = 0;
        long object = pending.request.object();
        for (int i = 0; i < nodes.parents.size(); i++) {
            double score = nodes.parentScorer.score(i, object, belowLimitScore);
            if (belowLimit != null && score <= belowLimitScore) {
                continue;
            }
            TrackedNode node = nodes.parents.get(i);
            if ((node.errorShare < excusedShare || isUsable(node))
                    && !pending.hasFailedFrom(node)
                    && !pending.hasTried(node)
                    && (fill ? coldBudgetAllows(node, workMs) : !isCold(node))) {
                if (first == null || score > firstScore) {
                    first = node;
                    firstScore = score;
                }
                if (!isAtLimit(node.sourceLimit)) {
                    belowLimit = node;
                    belowLimitScore = score;
                }
            }
        }
        return belowLimit != null ? belowLimit : first != null ? first : nodes.origin;
    }

    /**
     * Sends a request straight to a parent, else to the origin, as no cache may take it or all are at their
     * limits; refuses it if that is impossible. The answer takes the location's link but loads no cache, so
     * this path has a limit of its own, which its own late answers lower.
     */
    private void bypassCaches(OpenRequest pending) {
        TrackedNode source = settings.mayBypassCaches() ? chooseSource(pending, true) : null;
        boolean impossible =
                source == null || !mayTake(pending, source) || nodes.origin == null || isAtLimit(bypassLimit);
        if (impossible || source == nodes.origin && pending.hasTried(nodes.origin)) {
            giveUp(pending);
        } else {
            sendAttempt(pending, source, source, 0, true);
        }
    }

    // ---- Attempts and answers --------------------------------------------------------------------------

    /**
     * Sends a request to a cache, or past the caches if the cache is at its limit. The limit holds for
     * repeats, joined fills and retries too.
     */
    private void send(OpenRequest routedRequest, TrackedNode target, int rank, boolean fill) {
        if (isAtLimit(target.attemptLimit)) {
            bypassCaches(routedRequest);
            return;
        }
        sendAttempt(
                routedRequest,
                target,
                chooseSource(
                        routedRequest,
                        fill && !joinsFill(copyLocations.get(PartKey.of(routedRequest.request)), target)),
                rank,
                fill);
    }

    private void sendAttempt(
            OpenRequest openRequest, TrackedNode target, TrackedNode source, int copyRank, boolean fill) {
        Attempt attempt = new Attempt();
        attempt.target = target;
        attempt.targetGroup = RepeatRule.Group.of(target.listing);
        attempt.source = source;
        attempt.fill = fill;
        attempt.sentAtMs = nowMs;
        attempt.workMs = workEstimator.meanMs(openRequest.request.classIndex());
        attempt.rank = copyRank;
        attempt.isTrial = beginTrial(target);
        attempt.isSourceTrial = source != null && fill && beginTrial(source);
        openRequest.attempts.add(attempt);
        actions.accept(new WakeAt(
                nowMs + latencyTargetMs(openRequest),
                AlarmToken.attempt(openRequest.request.id(), openRequest.attempts.size())));
        countInFlight(openRequest.request, attempt, 1);
        target.coldBudget.spend(attempt.workMs);
        if (attempt.fillsThroughCache()) {
            source.coldBudget.spend(attempt.workMs);
        }
        RequestClass requestClass = settings.classes().get(openRequest.request.classIndex());
        attempt.expectsHit = !fill && requestClass.freshMs() == 0;
        TrackedNode fillSource = !nodes.isCache(target) ? nodes.origin : source == null ? target : source;
        double maxAgeMs = maxAgeMs(openRequest.request, acceptsStale(attempt, requestClass));
        boolean join = settings.joinFills() && !requestClass.write();
        boolean renew = requestClass.freshMs() > 0;
        actions.accept(Get.of(
                openRequest.request.id(),
                target.id(),
                openRequest.deadlineMs - nowMs,
                fillSource.id(),
                copyRank,
                maxAgeMs,
                join,
                renew));
    }

    private boolean joinsFill(CopyLocations locations, TrackedNode target) {
        return settings.joinFills()
                && locations != null
                && locations.openFills > 0
                && locations.fillingCache == target.id();
    }

    /** Adds an attempt to the counts of attempts in flight, or with {@code change} -1 removes it. */
    private void countInFlight(Request request, Attempt attempt, int change) {
        attempt.target.attemptLimit.inFlight += change;
        if (!attempt.fill) {
            attempt.target.hitsInFlight += change;
            nodes.hitsInFlight += nodes.caches.contains(attempt.target) ? change : 0;
            return;
        }
        CopyLocations copies = copyLocations.computeIfAbsent(PartKey.of(request), key -> new CopyLocations());
        if (change > 0) {
            attempt.joinsOpenFill = joinsFill(copies, attempt.target);
        }
        if (!attempt.joinsOpenFill) {
            pathLimit(attempt).inFlight += change;
            if (attempt.source != null) {
                attempt.source.sourceLimit.inFlight += change;
            }
        }
        copies.openFills = Math.max(0, copies.openFills + change);
        if (change > 0) {
            copies.fillingCache = attempt.target.id();
        }
    }

    private void onOutcome(Outcome outcome) {
        OpenRequest currentRequest = openRequests.get(outcome.request());
        if (currentRequest == null
                || outcome.attempt() >= currentRequest.attempts.size()
                || currentRequest.attempts.get(outcome.attempt()).ended) {
            return;
        }
        Attempt attempt = currentRequest.attempts.get(outcome.attempt());
        attempt.ended = true;
        attempt.mayHaveRun = outcome.result().mayHaveRun();
        currentRequest.endedAttempts++;
        int loadIndex = settings.reportFields().indexOf(LOAD_FIELD);
        attempt.target.reportedLoad = loadIndex >= 0
                        && loadIndex < outcome.load().size()
                ? outcome.load().get(loadIndex)
                : attempt.target.reportedLoad;
        boolean unanswered = outcome.result() == Result.TIMEOUT || outcome.result() == Result.CANCELLED;
        attempt.target.lastAnswerMs = unanswered ? attempt.target.lastAnswerMs : nowMs;
        countInFlight(currentRequest.request, attempt, -1);
        recordOutcomeLateness(currentRequest, attempt, outcome);
        attributeOutcome(currentRequest, attempt, outcome);
        updateCopyLocations(currentRequest.request, attempt, outcome);
        earnTokens(currentRequest, attempt, outcome, unanswered);
        if (outcome.closed() && currentRequest.hasAttemptsInFlight()) {
            close(currentRequest);
        }
        currentRequest.closed |= outcome.closed();
        if (!currentRequest.closed && !currentRequest.hasAttemptsInFlight()) {
            onAllAttemptsFailed(currentRequest, attempt, outcome);
        }
        removeIfDone(currentRequest);
    }

    /**
     * Adds the retry and backup tokens that the end of an attempt is worth. A request whose client left shows
     * nothing of a node: without this, requests that are withdrawn at full speed would pay for any number of
     * retries and backups of the others.
     */
    private void earnTokens(OpenRequest request, Attempt attempt, Outcome outcome, boolean unanswered) {
        boolean neverTried = request.withdrawn && unanswered || outcome.result() == Result.MOOT;
        if (outcome.attempt() == 0 && !neverTried) {
            retryTokens = Math.min(MAX_RETRY_TOKENS, retryTokens + RETRY_TOKENS_PER_REQUEST);
        }
        if (attempt.fill) {
            return;
        }
        boolean late = outcome.latencyMs() > latencyTargetMs(request);
        double earned = 0;
        if (unanswered && late) {
            earned = BACKUP_TOKENS_PER_HIT;
        } else if (unanswered && !request.withdrawn) {
            earned = 1;
        } else if (!unanswered && late) {
            earned = -BACKUP_TOKENS_PER_HIT;
        }
        backupTokens = Math.max(0, Math.min(MAX_BACKUP_TOKENS, backupTokens + earned));
    }

    /** Decides whether a request of which all attempts have ended is tried again. */
    private void onAllAttemptsFailed(OpenRequest pending, Attempt lastAttempt, Outcome outcome) {
        // Behind every parent is the same origin: a further fill would fail as well, and add to the load.
        boolean originFailed = outcome.note() == Note.ORIGIN_FAILED;
        boolean nothingFills = nodes.parents.isEmpty() && nodes.origin == null;
        boolean finalMiss = nothingFills && outcome.result() == Result.MISS;
        if ((originFailed || finalMiss) && !hasUntriedHolder(pending)) {
            giveUp(pending);
        } else if (pending.erringNodes() >= MAX_ERRING_NODES) {
            giveUp(pending);
        } else {
            boolean lookup = !lastAttempt.fill && lastAttempt.source == lastAttempt.target;
            retryOrGiveUp(pending, lookup && outcome.result() == Result.MISS);
        }
    }

    private boolean hasUntriedHolder(OpenRequest pending) {
        List<TrackedNode> untried = ListUtils.filter(nodes.caches, node -> !pending.hasTried(node));
        return !holders(pending.request, copyLocations.get(PartKey.of(pending.request)), untried)
                .isEmpty();
    }

    /**
     * Makes a further attempt if the retry budget covers it, so that retries don't feed an overload. After
     * a lookup at a cache that had no copy, the request bypasses the caches at no cost.
     */
    private void retryOrGiveUp(OpenRequest pending, boolean lookupMissed) {
        if (lookupMissed) {
            bypassCaches(pending);
        } else if (retryTokens < 1) {
            giveUp(pending);
        } else {
            retryTokens--;
            route(pending);
        }
    }

    /** Updates which caches are believed to hold the part that was requested. */
    private void updateCopyLocations(Request request, Attempt attempt, Outcome outcome) {
        // An attempt from before a restart doesn't show what the new process holds.
        boolean sentAfterLastRestart = attempt.sentAtMs >= attempt.target.copiesValidFromMs;
        boolean kept = outcome.result() == Result.OK
                && attempt.rank > 0
                && nodes.isCache(attempt.target)
                && sentAfterLastRestart;
        if (kept) {
            copyLocations
                    .computeIfAbsent(PartKey.of(request), key -> new CopyLocations())
                    .lastSeenMsByCache
                    .put(attempt.target.id(), nowMs);
        } else if (outcome.result() == Result.MISS) {
            CopyLocations copies = copyLocations.get(PartKey.of(request));
            if (copies != null) {
                copies.lastSeenMsByCache.remove(attempt.target.id());
            }
        }
    }

    private void onAlarm(long token) {
        if (token == AlarmToken.WATCH) {
            actions.accept(new Watch(true));
            return;
        }
        OpenRequest pending = openRequests.get(AlarmToken.request(token));
        if (pending == null || pending.closed) {
            return;
        }
        if (AlarmToken.isBackup(token)) {
            sendBackup(pending);
            return;
        }
        if (AlarmToken.attempt(token) >= 0) {
            onOverdue(pending.attempts.get(AlarmToken.attempt(token)));
            return;
        }
        pending.attempts.forEach(this::onOverdue);
        giveUp(pending);
    }

    /**
     * Gives the final answer to a request that can't be served, without waiting for the deadline: a refusal
     * that says when to come back where a repeat is harmless, otherwise a failure.
     */
    private void giveUp(OpenRequest pending) {
        RequestClass requestClass = settings.classes().get(pending.request.classIndex());
        boolean mayHaveTakenEffect = pending.attempts.stream()
                .anyMatch(attempt -> !attempt.execution().isProvenNeverToHaveRun());
        boolean repeatWouldBeHarmless = requestClass.effect() == Effect.SAFE
                || requestClass.effect() == Effect.KEYED && requestClass.scope() == Scope.ALL;
        long id = pending.request.id();
        actions.accept(
                repeatWouldBeHarmless || !mayHaveTakenEffect
                        ? new Refuse(id, settings.maxRetryAfterMs())
                        : new Fail(id));
        close(pending);
    }

    /** Closes a request and cancels its attempts in flight. */
    private void close(OpenRequest pending) {
        pending.closed = true;
        attributeErrors(pending, false);
        for (int i = 0; i < pending.attempts.size(); i++) {
            if (!pending.attempts.get(i).ended && settings.mayCancel()) {
                actions.accept(new Cancel(pending.request.id(), i));
            }
        }
        removeIfDone(pending);
    }

    private void removeIfDone(OpenRequest pending) {
        if (pending.closed && !pending.hasAttemptsInFlight()) {
            openRequests.remove(pending.request.id());
        }
    }

    // ---- Work and cold nodes (rule 4) ------------------------------------------------------------------

    /**
     * Returns the work of a request in milliseconds: by its size if that is known, else the mean of its
     * class.
     */
    private double workMs(Request request) {
        return request.sizeKb() > 0
                ? request.sizeKb() / settings.paceKbPerMs()
                : workEstimator.meanMs(request.classIndex());
    }

    private void recordThroughput(TrackedNode node, int classIndex) {
        (nodes.isCache(node) ? cacheThroughput : parentThroughput)
                .add(classIndex, nodes.peers(node).size(), workEstimator, nowMs);
    }

    private ColdRule coldRule(TrackedNode node) {
        return nodes.isCache(node) ? settings.coldCache() : settings.coldParent();
    }

    private boolean isCold(TrackedNode node) {
        return node.listing.kind() != settings.originKind()
                && (nowMs < node.presumedColdUntilMs
                        || node.listing.startedAtMs() > 0
                                && nowMs - node.listing.startedAtMs()
                                        < coldRule(node).warmAfterMs());
    }

    /**
     * Rule 4: returns whether the budget of a cold node covers this work. A cold node gets a share of the
     * work that a warm peer serves for this doorman: about as much as it can do, and summed over all
     * doormans less than the rule's budget, since peers serve no more than they can. The budget accrues
     * with time from a debt that differs from doorman to doorman, so that few send at once however many
     * there are. It also guards against late answers of a node that is still cold. It could do harm where
     * peers served little before: the node then warms up slowly.
     */
    private boolean coldBudgetAllows(TrackedNode node, double workMs) {
        if (!isCold(node)) {
            return true;
        }
        ColdRule rule = coldRule(node);
        double startMs = nowMs < node.presumedColdUntilMs ? node.presumedStartMs : node.listing.startedAtMs();
        double load = COLD_BUDGET_SHARE * rule.overloadMultiple() * rule.capacityShareAt(nowMs - startMs);
        node.coldBudget.accrue(load * warmPeerRate(node), workEstimator.longestMeanMs(), nowMs);
        return node.coldBudget.covers(workMs);
    }

    /** Sets the debt of a node that has started: up to one request, spread evenly over the doormans. */
    private void resetColdBudget(TrackedNode node) {
        double debtPortion =
                (double) settings.doormanIndex() / settings.doormanCount() + Rendezvous.unitHash(node.id());
        node.coldBudget.reset(workEstimator.longestMeanMs() * (debtPortion - Math.floor(debtPortion)), nowMs);
    }

    /**
     * Returns the work in a millisecond that a warm peer of a cold node serves for this doorman: the
     * highest average of the last minutes, or this doorman's share of the node's size if that is more.
     */
    private double warmPeerRate(TrackedNode coldNode) {
        boolean isCache = nodes.isCache(coldNode);
        int doormans = isCache ? settings.doormansPerZone().get(settings.zone()) : settings.doormanCount();
        double shareOfSize = settings.weighBySize() ? coldNode.listing.size() / Math.max(1, doormans) : 0;
        PeerThroughput throughput = isCache ? cacheThroughput : parentThroughput;
        return Math.max(shareOfSize, throughput.peakWorkPerPeer(workEstimator, nowMs));
    }

    // ---- Health ----------------------------------------------------------------------------------------

    /** Returns whether a node may get new work: it is not excluded, or is due for a trial. */
    private boolean isUsable(TrackedNode node) {
        return !node.excluded || nowMs >= node.excludedUntilMs && !node.trialInFlight;
    }

    /** Starts a trial of an excluded node if one is due. Only one is in flight at a time. */
    private boolean beginTrial(TrackedNode node) {
        if (node.excluded && nowMs >= node.excludedUntilMs && !node.trialInFlight) {
            node.trialInFlight = true;
            return true;
        }
        return false;
    }

    /** Attributes an outcome to the node that caused it: the target, or the source of its fill. */
    private void attributeOutcome(OpenRequest pending, Attempt attempt, Outcome attemptOutcome) {
        if (attempt.isTrial) {
            attempt.target.trialInFlight = false;
        }
        if (attempt.isSourceTrial) {
            attempt.source.trialInFlight = false;
        }
        boolean usedSource = attempt.fillsThroughCache()
                && attemptOutcome.note() != Note.HIT
                && attemptOutcome.note() != Note.JOINED;
        if (attemptOutcome.result() == Result.OK
                || attemptOutcome.result() == Result.MISS
                || attemptOutcome.result() == Result.ERROR) {
            attempt.target.refusalsInRow = 0;
        }
        if (attempt.fillsThroughCache() && !usedSource) {
            attempt.source.coldBudget.refund(attempt.workMs);
        }
        switch (attemptOutcome.result()) {
            case OK -> onServed(pending, attempt, attemptOutcome, usedSource);
            case CONNECT_FAILED -> recordFailure(attempt.target, attempt, true);
            case RESET -> recordFailure(attempt.target, attempt, false);
            case ERROR -> onError(pending, attempt, attemptOutcome, usedSource);
            case TIMEOUT, FULL -> attributeFailure(attempt, attemptOutcome, usedSource);
            default -> {}
        }
    }

    /**
     * Handles an error. Without a note, the node or the request may be at fault, and which of them shows
     * only in what other nodes answer: see {@link #attributeErrors}. It guards against requests of bad
     * clients, which all nodes answer with an error and which excluded one healthy cache after another. It
     * could do harm where a node fails and the request's next attempt takes long: the node is excluded that
     * much later. A trial counts at once.
     */
    private void onError(OpenRequest pending, Attempt attempt, Outcome outcome, boolean usedSource) {
        if (outcome.note() != Note.NONE || attempt.isTrial || pending.closed) {
            attributeFailure(attempt, outcome, usedSource);
        } else {
            pending.unattributedErrors.add(new OpenRequest.UnattributedError(attempt, outcome, usedSource));
        }
    }

    /**
     * Attributes the errors of a request, once it was served or has been closed: to their nodes, unless
     * several nodes answered with an error and none served the request.
     */
    private void attributeErrors(OpenRequest pending, boolean served) {
        boolean requestAtFault = !served && pending.erringNodes() > 1;
        List<OpenRequest.UnattributedError> errors = List.copyOf(pending.unattributedErrors);
        pending.unattributedErrors.clear();
        if (!requestAtFault) {
            errors.forEach(error -> attributeFailure(error.attempt(), error.outcome(), error.usedSource()));
        }
    }

    /**
     * Attributes a failure to the target or to the source. Notes distinguish a failed source from a failed
     * cache. Without them a failed fill counts against both, and the comparison with their peers clears the
     * one that is not at fault. For a refused fill, other refusals show which one it is: a draining cache,
     * of which the list reports late, refuses everything while its sources are healthy, and a source that
     * is gone fails at every cache.
     */
    private void attributeFailure(Attempt attempt, Outcome outcome, boolean usedSource) {
        boolean unattributed = usedSource && settings.notes() != Notes.ALL;
        switch (outcome.note()) {
            case SOURCE_REFUSED, SOURCE_FAILED ->
                recordFailure(
                        attempt.source == null ? attempt.target : attempt.source,
                        attempt,
                        outcome.note() == Note.SOURCE_FAILED);
            case NO_FILL_PLACE, ORIGIN_FAILED, SOURCE_LACKS -> {}
            default -> {
                boolean full = outcome.result() == Result.FULL;
                if (!full || attempt.target.refusalsInRow++ > 0 || !unattributed) {
                    recordFailure(attempt.target, attempt, false);
                    unattributed &= !full;
                }
                if (unattributed) {
                    recordFailure(
                            attempt.source,
                            attempt,
                            full && ++attempt.source.sourceRefusalsInRow >= MAX_SOURCE_REFUSALS);
                }
            }
        }
    }

    private void onServed(OpenRequest pending, Attempt attempt, Outcome outcome, boolean usedSource) {
        attributeErrors(pending, true);
        int classIndex = pending.request.classIndex();
        if (pending.request.sizeKb() > 0) {
            workEstimator.addSized(classIndex, workMs(pending.request), outcome.latencyMs());
        } else {
            workEstimator.addUnsized(classIndex, outcome.latencyMs());
        }
        recordThroughput(attempt.target, classIndex);
        recordSuccess(attempt.target, attempt.isTrial);
        if (usedSource) {
            recordThroughput(attempt.source, classIndex);
            recordSuccess(attempt.source, attempt.isSourceTrial);
        }
    }

    private void recordSuccess(TrackedNode node, boolean isTrial) {
        node.errorShare -= node.errorShare * SAMPLE_WEIGHT;
        node.overdueFillsInRow = 0;
        node.sourceRefusalsInRow = 0;
        if (node.unreachable) {
            presumeRestart(node);
        }
        node.unreachable = false;
        if (isTrial && node.excluded && --node.trialsLeft <= 0) {
            node.excluded = false;
            node.errorShare = 0;
            node.exclusionMs /= 2;
            logNode(node, "is back in use");
        }
    }

    /**
     * Treats a node as restarted. One that was unreachable and answers again most likely has restarted: it
     * is cold and empty, and the list reports that late. It guards against overloading the node until then;
     * no rule counts that, but its effects last. It could do harm where the network path and not the
     * process was down: the node gets less work for a while.
     */
    private void presumeRestart(TrackedNode node) {
        node.presumedStartMs = nowMs;
        node.presumedColdUntilMs = nowMs + coldRule(node).warmAfterMs();
        node.copiesValidFromMs = nowMs;
        resetColdBudget(node);
    }

    /**
     * Records a failure of a node and excludes it if it is unreachable, or fails too often and more than
     * its peers. Attempts from before an exclusion don't prolong it.
     */
    private void recordFailure(TrackedNode node, Attempt attempt, boolean unreachable) {
        node.errorShare += (1 - node.errorShare) * SAMPLE_WEIGHT;
        node.unreachable |= unreachable;
        boolean countsForExclusion = !node.excluded || attempt.sentAtMs >= node.excludedUntilMs;
        boolean bad = node.errorShare > MAX_ERROR_SHARE && isWorseThanPeers(node, peer -> peer.errorShare);
        if (countsForExclusion && (node.excluded || node.unreachable || bad)) {
            exclude(node, unreachable ? "does not answer" : "fails");
        }
    }

    /**
     * Returns whether a node does far worse than its median peer. What affects all alike is no node's
     * fault.
     */
    private boolean isWorseThanPeers(TrackedNode node, ToDoubleFunction<TrackedNode> measure) {
        return ListUtils.exceedsTwiceMedian(node, nodes.peers(node), measure);
    }

    /** Excludes a node for a time that doubles with each exclusion. The origin is never excluded. */
    private void exclude(TrackedNode node, String reason) {
        if (node.listing.kind() == settings.originKind()) {
            return;
        }
        if (!node.excluded) {
            logNode(node, reason + ": left out");
        }
        node.exclusionMs = Math.min(MAX_EXCLUSION_MS, Math.max(MIN_EXCLUSION_MS, 2 * node.exclusionMs));
        node.excluded = true;
        node.excludedUntilMs = nowMs + node.exclusionMs;
        node.trialsLeft = REQUIRED_TRIALS;
    }

    private void logNode(TrackedNode node, String message) {
        actions.accept(new Log("node " + node.id() + " " + message));
    }

    // ---- The list of nodes (rule 3: a node not ready is no target and no source from now on) ------------

    private void onMembers(Members members) {
        if (members.kind() == ListKind.FAILED) {
            actions.accept(new WakeAt(nowMs + RESUBSCRIBE_DELAY_MS, AlarmToken.WATCH));
            return;
        }
        if (members.kind() != ListKind.DELTA) {
            nodes.listed
                    .keySet()
                    .retainAll(members.nodes().stream().map(Node::id).collect(Collectors.toSet()));
        }
        for (Node listing : members.nodes()) {
            updateListing(listing);
        }
        nodes.rebuildRoles();
        if (settings.mustSubscribe() && !subscribed) {
            subscribed = true;
            actions.accept(new Watch(true));
        }
    }

    private void updateListing(Node listing) {
        if (listing.state() == State.GONE || nodes.isCacheOfAnotherZone(listing)) {
            nodes.listed.remove(listing.id());
            return;
        }
        TrackedNode node = nodes.listed.get(listing.id());
        if (node == null) {
            node = new TrackedNode(listing);
            nodes.listed.put(listing.id(), node);
            resetColdBudget(node);
        }
        if (listing.startedAtMs() > node.listing.startedAtMs()) {
            resetColdBudget(node);
            // A restarted process is cold and empty: its believed copies and its error record are void.
            node.resetAfterRestart(nowMs);
            logNode(node, "has restarted: cold");
        }
        node.listing = listing;
        node.weight = settings.weighBySize() && listing.size() > 0 ? listing.size() : 1;
    }

    // ---- Purges (rule 5) -------------------------------------------------------------------------------

    private void onPurged(Purged purge) {
        double purgedAtMs = nowMs - purge.ageMs();
        if (purge.object() == 0) {
            purgedGroups.merge(purge.group(), purgedAtMs, Math::max);
        } else {
            purgedObjects.merge(purge.object(), purgedAtMs, Math::max);
        }
    }

    private double lastPurgeMs(Request request) {
        return Math.max(
                purgedObjects.getOrDefault(request.object(), Double.NEGATIVE_INFINITY),
                purgedGroups.getOrDefault(request.group(), Double.NEGATIVE_INFINITY));
    }

    /**
     * Returns whether a stale copy is accepted, as it is worth more than the fill in its place given the
     * recent share of late fills. The copy is then renewed in the background. It guards against all causes
     * that keep fills from being admitted, at the cost of the lower worth of stale answers. A lookup
     * without a fill always accepts a stale copy.
     */
    private boolean acceptsStale(Attempt attempt, RequestClass requestClass) {
        double servedShare = 1
                - (attempt.source == null
                        ? 0
                        : Math.max(attempt.source.sourceLimit.lateShare, cacheFillLimit.lateShare));
        return !attempt.fill && attempt.source == attempt.target || servedShare < requestClass.staleWorth();
    }

    /**
     * Rule 5: returns the highest age of a copy that is accepted, or 0 where it is not bounded. While
     * copies from before a purge may still exist, none of them is accepted.
     */
    private double maxAgeMs(Request request, boolean acceptsStale) {
        RequestClass requestClass = settings.classes().get(request.classIndex());
        double freshMs = acceptsStale && requestClass.freshMs() > 0
                ? requestClass.freshMs() + requestClass.graceMs()
                : requestClass.freshMs();
        double sincePurgeMs = nowMs - lastPurgeMs(request);
        if (sincePurgeMs > settings.purgeCompleteMs() + settings.tickMs()) {
            return freshMs;
        }
        double boundMs = Math.max(settings.tickMs() / 100, sincePurgeMs - settings.tickMs());
        return freshMs > 0 ? Math.min(freshMs, boundMs) : boundMs;
    }
}
