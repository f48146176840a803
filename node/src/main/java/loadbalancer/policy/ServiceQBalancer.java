package loadbalancer.policy;

import java.math.BigInteger;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Supplier;

/**
 * Every decision of the load balancer. Its interface stands in {@code Balancer.java}.
 *
 * <p>The ordinary path is ServiceQ's: a failed attempt adds one to its server's error count, a success
 * clears it; a first try draws two servers by weights that fall with the count and goes to the one with
 * fewer of this node's own requests in flight; a failure that may be repeated passes to the next server
 * in list order; when nothing can be tried the request waits, first come first served, inside the
 * client's time. Departures are marked "Exception" and explained below.
 */
public final class ServiceQBalancer implements Balancer {

    /** How often a drawn server that may not be sent to is drawn again: to look through all took much CPU. */
    private static final int REDRAWS = 15;
    /** Draws by key, some turned down by weight: three left a burst waiting, sixteen spread it. */
    private static final int KEY_DRAWS = 8;
    /** Shortest sweep over waiting requests; long against the cost of a sweep, short against any aim. */
    private static final long MIN_SWEEP_US = 5_000;
    /** Share of a new value in a running mean, and in that of timely answers, which follows a jam. */
    private static final double MEAN_GAIN = 1.0 / 32;

    private static final double TIMELY_GAIN = 1.0 / 8;
    /** Share of timely answers under which a sparse node throttles, but for a part to learn of recovery. */
    private static final double THROTTLED_AT = 0.7;

    private static final double LEAST_ADMITTED = 0.05;
    /** Cost of a request where no keys are known, against the mean: not told, so on the careful side. */
    private static final double UNKNOWN_KEY_COST = 3;
    /** Gap between answers that a node assumes before it has seen any: careful with cold servers. */
    private static final double FIRST_GAP_US = 50_000;
    /** Requests in flight that all nodes together start with for each server: few enough for one core. */
    private static final double FIRST_LIMIT = 4;
    /** The same where keys are warm: past what a server holds, so that the first cut finds the limit. */
    private static final double FIRST_WARM_LIMIT = 64;
    /** Answers slower than this share of the aim say that a server is crowded: the rest is for chance. */
    private static final double CROWDED_AT = 0.35;
    /** The same at a sparse node: what many send evens out badly, so servers with room are slow at times. */
    private static final double SPARSE_CROWDED_AT = 0.7;
    /** Part of that growth that stays while half of the answers come late: some must, or none comes back. */
    private static final double LEAST_GROWTH = 0.1;
    /** Growth of a limit over all nodes for an answer in good time, and its cut for a slow one. */
    private static final double LIMIT_STEP = 0.15;

    private static final double LIMIT_CUT = 0.1;
    /** Answers that take this many times the least mean of their class say so too, however far the aim is. */
    private static final double CROWDED_BY = 3;
    /** Answers of this share of their class's mean are slower than most: the median is under it. */
    private static final double SLOW_BY = 0.8;
    /** Most errors that slow answers add up to: a server that is slower still has its limit. */
    private static final int MOST_SLOW = 8;
    /** Growth of a least value with each new one, and fall of a largest, to follow changes: half in 4,000. */
    private static final double LEAST_DRIFT = 1.0001;
    /** Longest time between two requests to a server whose limit is under one: one second kept it choked. */
    private static final long MOST_REST_US = 2_000_000;
    /** Requests that a node of many may send ahead of such a rest: arrivals come in bunches. */
    private static final double BURST = 2;
    /** Power of the number of nodes with which step and cut grow: at 0 slow to learn, at a half a swing. */
    private static final double LEARN_BY_NODES = 0.25;
    /** Cut of a limit for a request turned away or not answered in time, which is more than slow. */
    private static final double LIMIT_HARD_CUT = 0.3;
    /** A waiting request is too late with so many usual latencies left to its aim, or this share at most. */
    private static final double TOO_LATE_AT = 2;

    private static final double MOST_LATE_AT = 0.8;
    /** A repeat whose time left is this near to a first try's, in deadlines, has what every try has. */
    private static final double FIRST_LEFT_SLACK = 0.01;
    /** Failures among a server's last {@link #REMEMBERED} answers from which on it is ejected. */
    private static final int EJECT_AT = 4;

    private static final int REMEMBERED = 16;
    /** Successes in a row that restore a server: one may be luck, three hardly. */
    private static final int TRIALS = 3;
    /** First time without requests for an ejected server, doubled with each failed trial, and the longest. */
    private static final long EJECT_US = 250_000;

    private static final long MOST_EJECT_US = 4_000_000;
    /** Failed trials of all ejected servers: this share of first tries, and so many at once. */
    private static final double TRIAL_SHARE = 0.05;

    private static final double MOST_TRIALS = 4;
    /** Trials with unsafe requests are this much further apart: each that fails is lost. */
    private static final int UNSAFE_TRIALS = 4;
    /** Failures in a row from which on a last resort rests, up to about the time that an answer takes, as if
     * it held its place so long: one that serves three in ten fails so many in one of seventeen runs, one
     * that serves none always. */
    private static final int RESTS_AFTER = REMEMBERED / 2;
    /** Times the usual latency of its class after which an attempt is silent: one in fifty takes longer. */
    private static final double SILENT_BY = 4;
    /** A node whose wake-up comes this much too late was paused itself. */
    private static final long PAUSED_US = 50_000;
    /** Retry budget of hedges: this share of first tries, and so many at once. */
    private static final double HEDGE_SHARE = 0.2;

    private static final double MOST_HEDGES = 20;
    /** Own requests in flight from which on a local server is compared with those of other zones. */
    private static final int SPILL_AT = 2;
    /** A server is laden that holds this many times what servers hold on average, and one request more. */
    private static final double LADEN_BY = 1.5;
    /** Shortest aims that what a server holds may take to be answered: at one, servers ran dry at times. */
    private static final double HELD_AT = 1.5;
    /** First wait before a failed list call is made again; doubled each time. */
    private static final long LIST_BACKOFF_US = 250_000;

    /** Nodes that share a server in a large fleet: enough to even out what they send, few enough to learn. */
    private static final int SHARERS = 24;
    /** Nodes that share a server from which on a node counts as sparse: with fewer it lost more. */
    private static final double SPARSE_FROM = 20;
    /** Least servers that a node uses, where there are as many: one may fail and one hang. */
    private static final int LEAST_IN_USE = 4;
    /** Least places in the table of subsets for each server: all then have about equally many nodes. */
    private static final int ROW_PLACES = 4;
    /** The same in the table that keys draw from; it changes only as the fleet doubles, as keys move then. */
    private static final int KEY_PLACES = 16;
    /** Waiting requests with a key drawn for in vain at each event and each sweep: more took too much CPU. */
    private static final int KEYS_TRIED = 4;

    private static final int KEYS_SWEPT = 64;

    private BalancerSettings set;
    private final BalancerActions out;
    private final SplittableRandom random;
    private long sweepUs;
    private double limitStep;
    private double limitCut;
    /** Whether so many nodes share a server that own requests in flight tell little of its load. */
    private boolean sparse;

    private double timely = 0.75;

    private final Map<String, Server> byId = new HashMap<>();
    private final Set<Server> listed = new LinkedHashSet<>();
    /** The servers in use: all that are ready, or this node's part of them in a large fleet. */
    private Server[] ready = new Server[0];

    private Map<String, Long> cordons = Map.of();
    private double sharers;
    private int nearSize;
    private Pool everywhere = new Pool(ready, false);
    private Pool nearby = everywhere;
    private boolean weightsStale;
    private double largestEffect = 1;
    private final List<Server> ejected = new ArrayList<>();
    private double hedgesLeft = MOST_HEDGES;
    private double trialsLeft = MOST_TRIALS;

    private final Map<Long, Call> calls = new HashMap<>();
    private final ArrayList<Call> waiting = new ArrayList<>();

    private long now;
    private long wakePending = Long.MAX_VALUE;
    private long lastServedAt;
    private double servedGapUs = FIRST_GAP_US;
    private final List<Usual> usual = new ArrayList<>();
    private int inFlight;
    private double limits;
    private double heldByAll;
    private final int heldField;
    private double leastAimUs;
    private double heldCostUs;
    private int heldAnswers;
    private long askListAt = Long.MAX_VALUE;
    private long listBackoffUs = LIST_BACKOFF_US;

    private static final class Server {
        final String id;
        final long hash;
        int zone;
        int cell;
        ServerState state;
        long startedAt;
        int position;
        int errors;
        int inFlight;
        double limit;
        long limitCutAt;
        long restUntil;
        long restUs;
        long wantedAt;
        boolean inUse;
        /** Whether its last attempt had any answer. */
        boolean answers;
        /** What all its answers say, and those of each class: it may fail one class and serve the others. */
        final Health overall = new Health();

        final List<Health> byClass = new ArrayList<>();
        /** From when the gap to the next request counts while it is cold; 0 if none is set for this start. */
        long coldSentAt;
        /** What it said that it holds, when, and how long the answer took that said so. */
        double held;

        long heldAt;
        double heldForUs = 1;

        Server(String id) {
            this.id = id;
            hash = new SplittableRandom(id.hashCode()).nextLong();
        }
    }

    /** The last answers of a server and what follows from them. */
    private static final class Health {
        int history;
        boolean ejected;
        long trialAt;
        long ejectedForUs;
        int trialsWon;
        long answeredAt;
        long servedAt;

        int recentFailures() {
            return Integer.bitCount(history & (1 << REMEMBERED) - 1);
        }
    }

    /** What the answers of a class say of it. */
    private static final class Usual {
        double latencyUs;
        double leastLatencyUs;
        int answers;
        double firstLeftUs;
        /** Its attempts, in the order sent, until they are known or found silent. */
        final ArrayDeque<Try> watched = new ArrayDeque<>();
    }

    private record Try(Call call, int attempt) {}

    /** What is drawn from: servers, their weights summed up to each, and the places that keys draw. */
    private static final class Pool {
        final Server[] servers;
        final long[] weightsUpTo;
        final Server[] places;

        Pool(Server[] servers, boolean forKeys) {
            this.servers = servers;
            weightsUpTo = new long[servers.length];
            places = !forKeys || servers.length == 0
                    ? new Server[0]
                    : table(servers, nextPrime(KEY_PLACES * Integer.highestOneBit(servers.length)), 1);
        }
    }

    private static final class Call {
        final BalancerRequest request;
        final RequestClass cls;
        final long arrivedAt;
        final long latencyObjectiveUs;
        final long aimAt;
        final long deadlineAt;
        final Server[] servers;
        final long[] sentAt;
        final AttemptResult[] results;
        /** Attempts that were counted as failures before they ended. */
        final boolean[] silent;
        /** Fixes the draws by the request's key; 0 without one. */
        final long keySeed;

        double value;
        boolean late;
        int attempts;
        int outstanding;
        boolean waiting;
        boolean left;
        /** The attempt that the request is bound to, or -1. */
        int bound = -1;

        boolean ended;

        Call(BalancerRequest request, BalancerSettings set, long now, Usual known) {
            this.request = request;
            cls = set.classes.get(request.classIndex());
            latencyObjectiveUs = Math.min(
                    cls.deadlineUs(), cls.latencyObjectiveUs() + (long) (cls.objectiveStretch() * request.workUs()));
            arrivedAt = now - request.waitedUs();
            deadlineAt = arrivedAt + Math.max(0, request.remainingUs());
            // The aim runs from the client's first try. A repeat with other than a first try's time left has
            // the rest of the client's whole time, which tells when that was; else it is taken for new.
            known.firstLeftUs = request.retry() && known.firstLeftUs > 0
                    ? known.firstLeftUs
                    : Math.max(request.remainingUs(), known.firstLeftUs / LEAST_DRIFT);
            boolean tells = request.retry()
                    && Math.abs(request.remainingUs() - known.firstLeftUs) > FIRST_LEFT_SLACK * cls.deadlineUs();
            long sinceUs = tells ? Math.max(0, cls.deadlineUs() - request.remainingUs()) : 0;
            aimAt = Math.min(deadlineAt, arrivedAt + latencyObjectiveUs - sinceUs);
            servers = new Server[set.maxAttempts];
            sentAt = new long[set.maxAttempts];
            results = new AttemptResult[set.maxAttempts];
            silent = new boolean[set.maxAttempts];
            keySeed =
                    set.keyAffinity && request.key() != null ? mix(request.key().hashCode()) | 1 : 0;
        }

        /** Rule 2: by when a further attempt has to begin, where this one may have run (-1: none has). */
        long mayBeginUntil(int binding) {
            return cls.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY && binding >= 0
                    ? sentAt[binding] + cls.deduplicationWindowUs()
                    : Long.MAX_VALUE;
        }

        /** The earliest attempt not known never to have run, or -1: it binds repeats and refusals. */
        int binding() {
            for (int i = 0; i < attempts; i++) {
                if (results[i] == null || !results[i].neverRan) {
                    return i;
                }
            }
            return -1;
        }
    }

    /** A node that has just started and knows nothing; throws IllegalArgumentException on bad settings. */
    public ServiceQBalancer(BalancerSettings settings, long seed, BalancerActions actions) {
        out = actions;
        random = new SplittableRandom(seed);
        heldField = settings.reportFields.indexOf(LoadReportField.IN_FLIGHT);
        follow(settings);
        shareAmong(set.nodes);
    }

    private void follow(BalancerSettings settings) {
        settings.validate();
        set = settings;
        sweepUs = Math.max(MIN_SWEEP_US, 2 * set.tickUs);
        leastAimUs = set.classes.stream()
                .filter(c -> c.priorityWeight() > 0)
                .mapToLong(RequestClass::latencyObjectiveUs)
                .min()
                .orElse(0);
        int before = usual.size();
        forEachClass(usual, Usual::new);
        // What is known of the work stays; how long clients wait is a part of the rules that have changed.
        usual.subList(before, usual.size()).forEach(known -> known.firstLeftUs = 0);
        byId.values().forEach(server -> forEachClass(server.byClass, Health::new));
    }

    /** Has one for each class; a class that comes again with other rules goes on with what is known of it. */
    private <T> void forEachClass(List<T> known, Supplier<T> unknown) {
        List<String> names = set.classes.stream().map(RequestClass::name).toList();
        for (int c = known.size(); c < names.size(); c++) {
            int first = names.indexOf(names.get(c));
            known.add(first < c ? known.get(first) : unknown.get());
        }
    }

    @Override
    public void onSettings(long nowUs, BalancerSettings settings) {
        now = nowUs;
        follow(settings);
        chooseServers();
        carryOn();
    }

    private void shareAmong(double nodes) {
        sharers = nodes;
        // Both by the same factor: for all nodes together the balance between step and cut stays.
        double pace = Math.pow(nodes, LEARN_BY_NODES);
        limitStep = LIMIT_STEP / pace;
        limitCut = 1 - Math.pow(1 - LIMIT_CUT, pace);
        sparse = nodes > SPARSE_FROM;
    }

    // ---------------------------------------------------------------- the server list

    @Override
    public void onServers(long nowUs, ListKind kind, List<ServerEntry> entries) {
        now = nowUs;
        if (kind != ListKind.CHANGES) {
            listed.forEach(server -> server.state = ServerState.GONE);
            listed.clear();
        }
        for (ServerEntry entry : entries) {
            Server server = byId.computeIfAbsent(entry.id(), Server::new);
            forEachClass(server.byClass, Health::new);
            if (entry.state() == ServerState.GONE) {
                listed.remove(server);
            } else {
                listed.add(server);
            }
            if (entry.startedAtUs() > server.startedAt) {
                // A new process: what was counted against the old one says nothing of it.
                startCold(server, entry.startedAtUs());
            }
            server.state = entry.state();
            server.zone = entry.zone();
            server.cell = entry.cell();
        }
        chooseServers();
        // Servers come and go as long as a node runs: what is gone and holds nothing is forgotten.
        byId.values().removeIf(server -> server.state == ServerState.GONE && server.inFlight == 0);
        if (kind != ListKind.CACHED) {
            askListAt = Long.MAX_VALUE;
            listBackoffUs = LIST_BACKOFF_US;
        } else if (set.pollsEndpointList) {
            askForList();
        }
        carryOn();
    }

    @Override
    public void onCordoned(long nowUs, Set<String> serverIds) {
        now = nowUs;
        Map<String, Long> since = new HashMap<>();
        serverIds.forEach(id -> since.put(id, cordons.getOrDefault(id, now)));
        // What is back has most likely been restarted meanwhile: now, unless the list has told when.
        listed.stream()
                .filter(s -> !since.containsKey(s.id) && s.startedAt < cordons.getOrDefault(s.id, 0L))
                .forEach(server -> startCold(server, now));
        cordons = since;
        chooseServers();
        carryOn();
    }

    @Override
    public int excludedServers() {
        return ejected.size()
                + (int) listed.stream().filter(s -> cordons.containsKey(s.id)).count();
    }

    private void chooseServers() {
        Server[] before = ready;
        // Gaps are counted from the first list on, not from the start of the clock.
        lastServedAt = lastServedAt == 0 ? now : lastServedAt;
        ready = inUse(listed.stream()
                .filter(s -> s.state == ServerState.READY && !cordons.containsKey(s.id))
                .toArray(Server[]::new));
        Arrays.stream(before).forEach(server -> server.inUse = false);
        for (int i = 0; i < ready.length; i++) {
            ready[i].position = i;
            ready[i].inUse = true;
            // Not before it is known how many nodes share it. Where keys are warm, what a server can hold
            // depends on the keys it knows: the first cut shows it. A cold one knows none; it gets too little
            // to be cut before it is warm, and then all nodes fill it.
            ready[i].limit = ready[i].limit != 0
                    ? ready[i].limit
                    : (set.keyAffinity && !isCold(ready[i]) ? FIRST_WARM_LIMIT : FIRST_LIMIT) / sharers;
            if (isCold(ready[i]) && ready[i].coldSentAt == 0) {
                // All nodes hear of a start at once: their first sends together would be a burst.
                ready[i].coldSentAt = now - (long) (random.nextDouble() * coldGap(ready[i]));
            }
        }
        Arrays.stream(before).forEach(this::closeIfUnused);
        everywhere = new Pool(ready, set.keyAffinity);
        nearby = set.crossZoneCost == 0
                ? everywhere
                : new Pool(Arrays.stream(ready).filter(this::isNear).toArray(Server[]::new), set.keyAffinity);
        countReady();
    }

    private void leave(Server server) {
        server.inFlight--;
        inFlight -= isCounted(server) ? 1 : 0;
        closeIfUnused(server);
    }

    /** Connections to a server no longer in use would hold its places for the nodes that do use it. */
    private void closeIfUnused(Server server) {
        if (!server.inUse && server.inFlight == 0) {
            out.closeIdle(server.id);
        }
    }

    /** Exception, subsets: acts when more than {@link #SHARERS} nodes would share each server. Connections
     * are capped, cost work and are priced, and what a node sees is spread thinner with each server it uses:
     * every node then keeps to a part of the servers, near ones first where crossing zones costs. */
    private Server[] inUse(Server[] all) {
        Set<Server> used = new HashSet<>(part(all));
        shareAmong(Math.max(1, (double) set.nodes * used.size() / Math.max(1, all.length)));
        return Arrays.stream(all).filter(used::contains).toArray(Server[]::new);
    }

    private List<Server> part(Server[] all) {
        int zones = set.crossZoneCost == 0 ? 1 : Math.max(1, set.zones.size());
        Server[] near = Arrays.stream(all).filter(s -> zones == 1 || isNear(s)).toArray(Server[]::new);
        Server[] far = Arrays.stream(all).filter(s -> zones > 1 && !isNear(s)).toArray(Server[]::new);
        int nearUsed = partOf(near.length, (double) set.nodes / zones, zones == 1 ? 2 : 1);
        int farUsed = partOf(far.length, set.nodes, 1);
        if (nearUsed == near.length && farUsed == far.length) {
            return Arrays.asList(all);
        }
        // Sizes are kept through small changes of the list, since with them all places move.
        nearSize = 2 * nearUsed > nearSize && nearUsed < 2 * nearSize ? nearSize : nearUsed;
        List<Server> used = new ArrayList<>(subset(near, Math.min(near.length, nearSize)));
        used.addAll(subset(far, Math.min(farUsed, Math.max(LEAST_IN_USE, nearSize / 2))));
        return used;
    }

    private boolean isNear(Server server) {
        return server.zone == set.localZone;
    }

    private static int partOf(int servers, double nodes, int atLeast) {
        // In a fleet that has shrunk, the least of all nodes would meet the cap on connections.
        int least = (int) Math.max(atLeast, Math.min(LEAST_IN_USE, 2 * SHARERS * servers / nodes));
        return Math.min(servers, Math.max(least, (int) Math.ceil(SHARERS * servers / nodes)));
    }

    /** This node's part of the servers. As in Maglev hashing, they take turns in claiming places from a table
     * of rows, and node i has row i modulo their number: all get equally many, all find the same table, and
     * a change of the list moves few places. A row for each node took too much CPU. */
    private List<Server> subset(Server[] from, int size) {
        if (size == from.length) {
            return Arrays.asList(from);
        }
        int rows = 1;
        while (2 * rows <= set.nodes && rows * size < ROW_PLACES * from.length) {
            rows *= 2;
        }
        Server[] table = table(from, nextPrime(rows * size), size);
        int first = set.nodeIndex % rows * size;
        return Arrays.stream(table, first, first + size)
                .filter(Objects::nonNull)
                .toList();
    }

    /** The servers take turns in claiming places, each in an order of its own, none twice in a row. */
    private static Server[] table(Server[] from, int places, int row) {
        Server[] turns = from.clone();
        Arrays.sort(turns, Comparator.comparingLong(server -> server.hash));
        Server[] table = new Server[places];
        int[] at = Arrays.stream(turns)
                .mapToInt(s -> (int) Math.floorMod(s.hash, (long) places))
                .toArray();
        int[] tries = new int[turns.length];
        int[][] rows = new int[turns.length][0];
        int left = places;
        int idle = 0;
        for (int i = 0; left > 0 && idle < turns.length; i = (i + 1) % turns.length) {
            int skip = 1 + (int) Math.floorMod(turns[i].hash >> 32, places - 1L);
            while (tries[i] < places && (table[at[i]] != null || contains(rows[i], at[i] / row))) {
                at[i] = (at[i] + skip) % places;
                tries[i]++;
            }
            idle = tries[i] == places ? idle + 1 : 0;
            if (tries[i] < places) {
                table[at[i]] = turns[i];
                // What it has claimed is kept beside: to look through the row would cost its length each
                // time.
                rows[i] = Arrays.copyOf(rows[i], rows[i].length + 1);
                rows[i][rows[i].length - 1] = at[i] / row;
                left--;
            }
        }
        return table;
    }

    private static boolean contains(int[] values, int value) {
        for (int each : values) {
            if (each == value) {
                return true;
            }
        }
        return false;
    }

    private static int nextPrime(int from) {
        return BigInteger.valueOf(from - 1L).nextProbablePrime().intValueExact();
    }

    @Override
    public void onListFailed(long nowUs) {
        now = nowUs;
        if (set.pollsEndpointList) {
            // Jittered backoff: nodes that failed together must not ask together again.
            askListAt = now + listBackoffUs / 2 + random.nextLong(listBackoffUs);
            listBackoffUs = Math.min(2 * listBackoffUs, Math.max(1, set.pollIntervalUs / 4));
            scheduleWake();
        }
    }

    private void askForList() {
        out.subscribe();
        askListAt = now + Math.max(1, set.pollIntervalUs / 2);
    }

    // ---------------------------------------------------------------- requests and outcomes

    @Override
    public void onRequest(long nowUs, BalancerRequest request) {
        now = nowUs;
        if (request.classIndex() < 0
                || request.classIndex() >= set.classes.size()
                || request.tenant() >= set.tenants.size()
                || calls.containsKey(request.id())) {
            throw new IllegalArgumentException("unknown class or tenant, or an id that is held: " + request);
        }
        Call call = new Call(request, set, now, usual.get(request.classIndex()));
        calls.put(request.id(), call);
        call.value = forItsWork(call.cls.priorityWeight(), request.classIndex());
        boolean turnedDown = sparse && random.nextDouble() >= admitted(call);
        // Nobody waits for the same server, or those who do are tried with each answer.
        boolean first = !turnedDown && (waiting.isEmpty() || call.keySeed != 0 && !isLate(call));
        Server server = first && now < call.deadlineAt ? drawForFirstTry(call) : null;
        if (server != null) {
            send(call, server);
        } else if (turnedDown) {
            giveUp(call);
        } else {
            defer(call);
            serveWaiting(KEYS_TRIED);
        }
        scheduleWake();
    }

    @Override
    public void onOutcome(long nowUs, AttemptOutcome outcome) {
        now = nowUs;
        Call call = calls.get(outcome.requestId());
        int attempt = outcome.attempt();
        if (call == null || attempt < 0 || attempt >= call.attempts || call.results[attempt] != null) {
            return;
        }
        Server server = call.servers[attempt];
        AttemptResult result = outcome.result();
        call.results[attempt] = result;
        call.outstanding--;
        if (attempt != call.bound) {
            leave(server);
        }
        heed(server, outcome);
        Health ofClass = server.byClass.get(call.request.classIndex());
        if (result == AttemptResult.OK) {
            succeeded(
                    server,
                    ofClass,
                    sparse && outcome.latencyUs() > SLOW_BY * usual.get(call.request.classIndex()).latencyUs);
        } else if (result != AttemptResult.CANCELLED && result != AttemptResult.MOOT && !call.silent[attempt]) {
            // A time-out of a server that has answered since tells of crowding, as being full does.
            failed(
                    server,
                    ofClass,
                    result != AttemptResult.FULL
                            && (result != AttemptResult.TIMEOUT || ofClass.answeredAt < call.sentAt[attempt]));
        }
        boolean answered = result == AttemptResult.OK || result == AttemptResult.ERROR;
        ofClass.answeredAt = answered ? now : ofClass.answeredAt;
        server.overall.answeredAt = answered ? now : server.overall.answeredAt;
        server.answers |= answered;
        if (call.bound < 0) {
            adaptLimit(call, attempt, outcome);
        }
        if (outcome.requestEnded()) {
            end(call);
        } else if (!call.ended && call.outstanding == 0) {
            passOn(call, server);
        }
        forgetIfOver(call);
        carryOn();
    }

    @Override
    public void onFirstByte(long nowUs, long requestId, int attempt) {
        now = nowUs;
        Call call = calls.get(requestId);
        if (call != null && call.bound < 0 && call.results[attempt] == null) {
            // What flows at the pace of its two ends is no work that the server holds.
            leave(call.servers[attempt]);
            call.bound = attempt;
            cancel(call, attempt);
        }
    }

    @Override
    public void onClientGone(long nowUs, long requestId) {
        now = nowUs;
        Call call = calls.get(requestId);
        if (call != null) {
            call.left = true;
            end(call);
        }
    }

    @Override
    public void onWake(long nowUs) {
        now = nowUs;
        boolean paused = wakePending != Long.MAX_VALUE && now > wakePending + PAUSED_US;
        wakePending = now >= wakePending ? Long.MAX_VALUE : wakePending;
        if (now >= askListAt) {
            askForList();
        }
        if (!paused) {
            lookForSilence();
        }
        serveWaiting(KEYS_SWEPT);
        scheduleWake();
    }

    private void carryOn() {
        serveWaiting(KEYS_TRIED);
        scheduleWake();
    }

    private void scheduleWake() {
        long at = waiting.isEmpty() ? askListAt : Math.min(askListAt, now + sweepUs);
        for (int c = 0; c < usual.size(); c++) {
            Try first = usual.get(c).watched.peek();
            at = first == null
                    ? at
                    : Math.min(at, Math.max(now + sweepUs, first.call.sentAt[first.attempt] + silentAfter(c)));
        }
        if (at < wakePending) {
            wakePending = Math.max(at, now + 1);
            out.wakeAt(wakePending);
        }
    }

    // ---------------------------------------------------------------- the mechanism

    /** A failure adds one; failures that say something of health, not of crowding, may eject the server. */
    private void failed(Server server, Health ofClass, boolean ill) {
        server.errors++;
        server.answers = false;
        weightsStale = true;
        for (Health health : ill ? new Health[] {server.overall, ofClass} : new Health[0]) {
            health.history = health.history << 1 | 1;
            health.trialsWon = 0;
            if (health.ejected
                    || health.recentFailures() >= EJECT_AT && (health == ofClass || !servesOthers(server, ofClass))) {
                eject(server, health);
            }
        }
    }

    /** Whether another class has been served since this one was, without a failure among its last answers. */
    private static boolean servesOthers(Server server, Health ofClass) {
        return server.byClass.stream()
                .anyMatch(other -> other.servedAt > ofClass.servedAt && other.recentFailures() == 0);
    }

    /** A success clears the count; an ejected server has to succeed several times in a row. */
    private void succeeded(Server server, Health ofClass, boolean slow) {
        servedGapUs += MEAN_GAIN * (now - lastServedAt - servedGapUs);
        lastServedAt = now;
        trialsLeft = Math.min(MOST_TRIALS, trialsLeft + (server.overall.ejected || ofClass.ejected ? 1 : 0));
        for (Health health : new Health[] {server.overall, ofClass}) {
            health.history <<= 1;
            health.servedAt = now;
            health.trialAt = now;
            if (health.ejected && ++health.trialsWon >= TRIALS) {
                out.restored(server.id, health == ofClass ? className(server, ofClass) : null);
                restore(health);
                if (health == server.overall) {
                    startAnew(server);
                }
                countReady();
                return;
            }
        }
        if (!server.overall.ejected) {
            // Exception, slow answers: at a sparse node an answer slower than most of its class adds an error
            // and any other takes one off, so the weights settle where all servers are about equally quick.
            int errors = !sparse
                    ? 0
                    : slow
                            ? Math.max(server.errors, Math.min(MOST_SLOW, server.errors + 1))
                            : Math.max(0, server.errors - 1);
            weightsStale |= errors != server.errors;
            server.errors = errors;
        }
    }

    // ---------------------------------------------------------------- ejection

    /** Exception, ejection: a server that failed {@link #EJECT_AT} of its last {@link #REMEMBERED} answers,
     * of all or of one class, gets nothing of these but single trials, further apart each time one fails.
     * Never more than half of the servers are out: when most fail, the trouble is not theirs. By class, since
     * a class that it serves would else hide one that it fails. Where many are out, the budget for failed
     * trials paces them: trials of a lost zone, from every node, would else take up most safe requests. */
    private void eject(Server server, Health health) {
        if (!health.ejected) {
            int c = server.byClass.indexOf(health);
            long many = ejected.stream()
                    .filter(s -> (c < 0 ? s.overall : s.byClass.get(c)).ejected)
                    .count();
            if (2 * (many + 1) > ready.length) {
                return;
            }
            health.ejected = true;
            health.ejectedForUs = EJECT_US / 2;
            out.ejected(server.id, health.recentFailures(), c < 0 ? null : className(server, health));
        }
        health.ejectedForUs = Math.min(MOST_EJECT_US, 2 * health.ejectedForUs);
        health.trialAt = now + health.ejectedForUs / 2 + random.nextLong(health.ejectedForUs);
        countReady();
    }

    private String className(Server server, Health ofClass) {
        return set.classes.get(server.byClass.indexOf(ofClass)).name();
    }

    /** Its last answers stand: until its failures among them are made up for, the next ejects it again. */
    private static void restore(Health health) {
        health.ejected = false;
        health.trialsWon = 0;
    }

    private void startAnew(Server server) {
        server.errors = 0;
        restore(server.overall);
        server.byClass.forEach(ServiceQBalancer::restore);
        // What comes back may be a new process that the list is yet to tell of: with little, as a cold one.
        server.limit = FIRST_LIMIT / sharers;
        server.held = 0;
        server.heldAt = 0;
    }

    private void startCold(Server server, long startedAt) {
        server.startedAt = startedAt;
        server.coldSentAt = 0;
        server.overall.history = 0;
        server.byClass.forEach(health -> health.history = 0);
        startAnew(server);
    }

    /** An ejected server that is due for a trial with this request, or null. Exception, last resort: where
     * the others are full, one that still answers, if with errors, gets what is safe to repeat, one at a time
     * and not as the last attempt. Errors cost no work, so the rest of what it does is won; but the longer it
     * only fails, the longer it is left alone, else one that fails all at once would draw most requests. */
    private Server trial(Call call, boolean full) {
        for (Server server : ejected) {
            Health ofClass = server.byClass.get(call.request.classIndex());
            // Unsafe requests are risked only where no other could tell: for a class of their own.
            boolean due = full
                    ? server.answers
                            && now >= server.restUntil
                            && now
                                    >= server.overall.answeredAt
                                            + Math.max(
                                                            0,
                                                            Integer.numberOfTrailingZeros(~server.overall.history)
                                                                    - RESTS_AFTER)
                                                    * usual.get(call.request.classIndex()).latencyUs
                                                    / REMEMBERED
                            && call.cls.idempotency() == Idempotency.IDEMPOTENT
                            && call.attempts < call.servers.length - 1
                    : call.cls.idempotency() == Idempotency.NON_IDEMPOTENT
                            ? !server.overall.ejected
                                    && ofClass.ejected
                                    && now >= ofClass.trialAt + UNSAFE_TRIALS * ofClass.ejectedForUs
                            : server.overall.ejected && now >= server.overall.trialAt
                                    || ofClass.ejected && now >= ofClass.trialAt;
            if (due && server.inFlight == 0 && isAllowed(call, server)) {
                return server;
            }
        }
        return null;
    }

    /** Counts the servers in use anew: what hangs at one ejected or gone must not hold back the others. */
    private void countReady() {
        weightsStale = true;
        limits = 0;
        inFlight = 0;
        heldByAll = 0;
        ejected.clear();
        for (Server server : ready) {
            if (isCounted(server)) {
                limits += server.limit;
                inFlight += server.inFlight;
                heldByAll += server.held;
            }
            if (server.overall.ejected || server.byClass.stream().anyMatch(h -> h.ejected)) {
                ejected.add(server);
            }
        }
    }

    private static boolean isCounted(Server server) {
        return server.inUse && !server.overall.ejected;
    }

    // ---------------------------------------------------------------- draws

    /** Two draws by weight; the one with fewer own requests in flight, ties at random. */
    private Server drawForFirstTry(Call call) {
        Server due = ejected.isEmpty() || trialsLeft < 1 ? null : trial(call, false);
        if (due != null) {
            trialsLeft--;
            return due;
        }
        Server server = drawTwo(call, nearby);
        // Exception, zones: where crossing costs, both draws are local, and two more from all servers win
        // only if the local choice is crowded, fails, or has at least two requests more in flight.
        if (nearby != everywhere && (server == null || server.inFlight >= SPILL_AT || server.errors > 0)) {
            Server other = drawTwo(call, everywhere);
            server = server == null
                            || other != null
                                    && (other.inFlight + SPILL_AT <= server.inFlight || other.errors < server.errors)
                    ? other
                    : server;
        }
        return server == null ? trial(call, true) : server;
    }

    private Server drawTwo(Call call, Pool from) {
        Server first = draw(call, from, null);
        Server second = first == null ? null : draw(call, from, first);
        if (second == null || first.inFlight != second.inFlight) {
            return second == null || first.inFlight < second.inFlight ? first : second;
        }
        // Draws are in random order, but by weight: a tie is broken by a toss of its own, or by the key.
        return call.keySeed != 0 || random.nextInt(2) == 0 ? first : second;
    }

    /** One draw by weight among the servers that may be sent to, but for {@code except}; null if none may. */
    private Server draw(Call call, Pool from, Server except) {
        Server[] servers = from.servers;
        if (weightsStale) {
            weigh();
        }
        if (call.keySeed != 0) {
            return drawByKey(call, from, Arrays.asList(except));
        }
        for (int i = 0; i <= REDRAWS && servers.length > 0; i++) {
            Server server = servers[drawPosition(from)];
            if (server != except && maySend(call, server)) {
                return server;
            }
        }
        return null;
    }

    private int drawPosition(Pool from) {
        int last = from.servers.length - 1;
        if (largestEffect == 1) {
            return random.nextInt(last + 1);
        }
        int found = Arrays.binarySearch(from.weightsUpTo, random.nextLong(from.weightsUpTo[last]));
        return found < 0 ? -1 - found : found + 1;
    }

    /** Exception, keys: acts where servers remember keys. The same weights, but the draws are fixed by the
     * request's key, as in rendezvous hashing: nodes draw the same servers for a key, near ones first, and a
     * server that gains errors loses keys to those drawn next, while the others stay where they are warm.
     * When all draws are full the request waits: at just any server it would cost the work that memory saves,
     * and a crowd would feed itself. Harm: a few hot keys may wait while other servers have room. */
    private Server drawByKey(Call call, Pool from, List<Server> except) {
        for (int i = 0; i < KEY_DRAWS && from.places.length > 0; i++) {
            long hash = mix(call.keySeed + i * 0x9E3779B97F4A7C15L);
            Server server = from.places[(int) ((hash >>> 32) % from.places.length)];
            boolean drawn = (hash & 0xFFFFFFFFL) * largestEffect < weight(server) * 0x1p32;
            if (drawn && !except.contains(server) && maySend(call, server)) {
                return server;
            }
        }
        return null;
    }

    private static long mix(long z) {
        z = (z ^ z >>> 30) * 0xBF58476D1CE4E5B9L;
        z = (z ^ z >>> 27) * 0x94D049BB133111EBL;
        return z ^ z >>> 31;
    }

    /** The paper's weights, worked out anew only when a count or the list has changed. */
    private void weigh() {
        int most = Arrays.stream(ready).mapToInt(server -> server.errors).max().orElse(0);
        largestEffect = Math.floor(Math.pow(1 + most, 1.5));
        sumUp(everywhere);
        sumUp(nearby);
        weightsStale = false;
    }

    private void sumUp(Pool pool) {
        for (int i = 0; i < pool.servers.length; i++) {
            pool.weightsUpTo[i] = weight(pool.servers[i]) + (i == 0 ? 0 : pool.weightsUpTo[i - 1]);
        }
    }

    private long weight(Server server) {
        return server.overall.ejected ? 1 : (long) Math.ceil(largestEffect / (1 + server.errors));
    }

    /** A failed request goes to the next server in list order, or waits, or has its final answer. */
    private void passOn(Call call, Server failed) {
        Server next = mayTryAgain(call) ? nextInTurn(call, failed) : null;
        if (next != null) {
            send(call, next);
        } else if (mayTryAgain(call)) {
            defer(call);
        } else {
            giveUp(call);
        }
    }

    private Server nextInTurn(Call call, Server failed) {
        List<Server> tried = Arrays.asList(call.servers);
        if (call.keySeed != 0 && call.binding() < 0) {
            return drawByKey(call, everywhere, tried);
        }
        for (int i = 1; i <= ready.length; i++) {
            Server next = ready[(failed.position + i) % ready.length];
            if (!tried.contains(next) && maySend(call, next)) {
                return next;
            }
        }
        return null;
    }

    // ---------------------------------------------------------------- silence

    /** Exception, silence: an attempt without an answer for {@link #SILENT_BY} times its class's usual time,
     * at a server that has answered nothing of the class since, counts as a failure while it is still out,
     * and a repeatable request passes on to a second server (a hedge, within a retry budget). Guards against
     * whatever swallows requests or answers while clients leave before any time-out tells. Not after a pause
     * of this node's own, when answers are still to be read. Harm: rare heavy requests run twice. */
    private void lookForSilence() {
        for (int c = 0; c < usual.size(); c++) {
            ArrayDeque<Try> line = usual.get(c).watched;
            while (!line.isEmpty()) {
                Call call = line.peek().call;
                int attempt = line.peek().attempt;
                boolean known = call.ended || call.bound >= 0 || call.results[attempt] != null;
                if (!known && now < call.sentAt[attempt] + silentAfter(c)) {
                    break;
                }
                line.poll();
                if (!known) {
                    foundSilent(call, attempt);
                }
            }
        }
    }

    private long silentAfter(int classIndex) {
        return !isUsualKnown(classIndex)
                ? Long.MAX_VALUE / 4
                : (long) (SILENT_BY * usual.get(classIndex).latencyUs) + 2 * set.tickUs;
    }

    private boolean isUsualKnown(int classIndex) {
        return usual.get(classIndex).answers * MEAN_GAIN >= 0.5;
    }

    private void foundSilent(Call call, int attempt) {
        Server server = call.servers[attempt];
        Health ofClass = server.byClass.get(call.request.classIndex());
        if (ofClass.answeredAt < call.sentAt[attempt]) {
            call.silent[attempt] = true;
            failed(server, ofClass, true);
        }
        if (set.hedging && !call.waiting && hedgesLeft >= 1 && mayTryAgain(call) && call.outstanding == 1) {
            Server next = nextInTurn(call, server);
            if (next != null) {
                hedgesLeft--;
                send(call, next);
            }
        }
    }

    // ---------------------------------------------------------------- the deferred queue

    /** Puts a request into the deferred queue: first come first served among those of equal value. */
    private void defer(Call call) {
        call.waiting = true;
        int at = waiting.size();
        while (at > 0 && waiting.get(at - 1).value < call.value) {
            at--;
        }
        waiting.add(at, call);
        // Clients would soon find no connection to ask on: what is worth least makes room.
        Call least = waiting.get(waiting.size() - 1);
        if (least.waiting && waiting.size() + inFlight > set.maxOpen) {
            giveUp(least);
        }
    }

    private boolean isLate(Call call) {
        return call.aimAt - now
                < Math.min(
                        MOST_LATE_AT * call.latencyObjectiveUs,
                        TOO_LATE_AT * usual.get(call.request.classIndex()).latencyUs);
    }

    /** Sends what waits as far as servers allow and ends what has run out of time. */
    private void serveWaiting(int keysToTry) {
        int kept = 0;
        boolean full = false;
        boolean fullForUnsafe = false;
        boolean unsorted = false;
        for (int i = 0; i < waiting.size(); i++) {
            Call call = waiting.get(i);
            if (!call.waiting) {
                continue;
            }
            boolean late = isLate(call);
            if (call.deadlineAt - now <= sweepUs + set.tickUs
                    || late && call.cls.lateWeight() == 0
                    || !mayTryAgain(call)) {
                giveUp(call);
                continue;
            }
            if (late && !call.late) {
                call.late = true;
                call.value *= call.cls.lateWeight();
                unsorted = true;
                waiting.set(kept++, call);
                continue;
            }
            boolean unsafe = call.cls.idempotency() == Idempotency.NON_IDEMPOTENT;
            boolean barred = full || unsafe && fullForUnsafe;
            Server server = barred ? null : drawForFirstTry(call);
            if (server != null) {
                call.waiting = false;
                send(call, server);
            } else {
                // What has not been sent may go anywhere, but for unsafe requests and ejected servers: if it
                // finds no server, nor does the next one. With a key it may go to few.
                boolean last = call.attempts == 0 && (call.keySeed == 0 || --keysToTry <= 0);
                fullForUnsafe |= last;
                full |= last && (!unsafe || call.keySeed != 0);
                waiting.set(kept++, call);
            }
        }
        waiting.subList(kept, waiting.size()).clear();
        if (unsorted) {
            waiting.sort(Comparator.comparingDouble(call -> -call.value));
        }
    }

    /** What a request earns for its work, by which the queue is ordered: worth over usual latency. */
    private double forItsWork(double worth, int classIndex) {
        return set.weightByWork ? worth : worth / Math.max(1, usual.get(classIndex).latencyUs);
    }

    // ---------------------------------------------------------------- concurrency limits

    /** Exception, concurrency limits: a server's limit grows when it was met while a request was out that was
     * answered well inside the aim, and falls when answers are slow or requests are turned away. Acts when a
     * draw would exceed it, or the node the sum of all (with many nodes a server's part is under one). */
    private void adaptLimit(Call call, int attempt, AttemptOutcome outcome) {
        Server server = call.servers[attempt];
        double before = server.limit;
        int c = call.request.classIndex();
        Usual known = usual.get(c);
        AttemptResult result = outcome.result();
        boolean ok = result == AttemptResult.OK;
        // A client that leaves hides how long its answer would have taken, so that only quick ones stay in
        // sight: after more than the usual time, what it has waited counts like an answer no quicker.
        boolean left =
                result == AttemptResult.CANCELLED && call.left && outcome.latencyUs() > SLOW_BY * known.latencyUs;
        boolean late = result == AttemptResult.TIMEOUT || result == AttemptResult.FULL;
        if (ok || late || left) {
            timely += TIMELY_GAIN * ((ok && now <= call.arrivedAt + call.latencyObjectiveUs ? 1 : 0) - timely);
        }
        if (ok) {
            known.latencyUs += Math.max(MEAN_GAIN, 1.0 / ++known.answers) * (outcome.latencyUs() - known.latencyUs);
            // The mean of so few answers is chance; until it is known the aim alone tells.
            known.leastLatencyUs =
                    !isUsualKnown(c) ? Double.MAX_VALUE : Math.min(known.leastLatencyUs * LEAST_DRIFT, known.latencyUs);
        }
        if (ok || left) {
            boolean patient = set.keyAffinity || sparse && known.leastLatencyUs < Double.MAX_VALUE;
            double crowded = Math.min(
                    (patient ? SPARSE_CROWDED_AT : CROWDED_AT) * call.latencyObjectiveUs,
                    set.keyAffinity ? Double.MAX_VALUE : (sparse ? 2 : 1) * CROWDED_BY * known.leastLatencyUs);
            double rank = sparse ? rank(call) : 1;
            // Or what it holds says that a request of the class with the shortest aim would be late there.
            if (outcome.latencyUs() > crowded
                    || server.heldAt == now && (server.held + 1) * heldCostUs > HELD_AT * leastAimUs) {
                cutLimit(call, attempt, limitCut * rank);
            } else if (!left) {
                // A cold server gets little and is quick with it: were its limit to pass the others', all
                // nodes together would choke it as soon as slow start lets go.
                // While answers come late everywhere, one in time says little: growth would hold the jam.
                double ease = set.keyAffinity ? 1 : Math.max(LEAST_GROWTH, 2 * timely - 1);
                server.limit += server.wantedAt >= call.sentAt[attempt]
                                && (!isCold(server) || server.limit * ready.length < limits)
                        ? limitStep * rank * ease
                        : 0;
            }
        } else if (late) {
            // Where keys are warm a full server is cut to what it held: less would send its keys elsewhere.
            cutLimit(call, attempt, set.keyAffinity && result == AttemptResult.FULL ? 0 : LIMIT_HARD_CUT);
        }
        if (server.limit < 1) {
            // A part of a place is kept by time: in flight for that part of it only.
            server.restUs = Math.min(MOST_REST_US, (long) (outcome.latencyUs() / server.limit));
            server.restUntil = Math.max(server.restUntil, call.sentAt[attempt]) + server.restUs;
        }
        limits += isCounted(server) ? server.limit - before : 0;
    }

    /** One cut for all that was sent before the last one. */
    private void cutLimit(Call call, int attempt, double cut) {
        Server server = call.servers[attempt];
        if (call.sentAt[attempt] >= server.limitCutAt) {
            // A limit that was never met says nothing of what the server held.
            double from = set.keyAffinity ? Math.min(server.limit, server.inFlight + 1) : server.limit;
            server.limit = Math.max(1.0 / sharers, from * (1 - cut));
            server.limitCutAt = now;
        }
    }

    private boolean isCrowded(Call call, Server server) {
        // The sum guards against a stall: what many nodes may each have at every server is then out at once.
        // Lent by how timely answers are: in a jam it would keep choked servers choked.
        double ease = sparse ? Math.max(0, 2 * timely - 1) : 0;
        double ahead = sparse ? BURST * rank(call) : 0;
        boolean atLimit = server.inFlight + 1 > server.limit
                && (server.inFlight > ease * ahead || now < server.restUntil - ease * ahead * server.restUs);
        boolean crowded = atLimit || inFlight > ease * (1 + ahead) && inFlight + 1 > limits;
        server.wantedAt = crowded ? now : server.wantedAt;
        return crowded;
    }

    /** Exception, throttling: the chance with which a sparse node takes up a request; it falls as its answers
     * come late, first for what is worth little, so that choked servers come to the rest that they need. */
    private double admitted(Call call) {
        double part = timely / THROTTLED_AT;
        return Math.max(LEAST_ADMITTED, part * part * (0.75 + rank(call) / 2));
    }

    /** The value of a request against that of the most valuable class, 1 at most. */
    private double rank(Call call) {
        double top = call.value;
        for (int c = 0; c < usual.size(); c++) {
            // A class that has not been answered yet has no measure of work; it must not outrank all others.
            double worth = usual.get(c).answers > 0 ? set.classes.get(c).priorityWeight() : 0;
            top = Math.max(top, forItsWork(worth, c));
        }
        return top > 0 ? call.value / top : 0;
    }

    /** Exception, load reports: acts where answers tell what a server holds for all nodes. Own requests in
     * flight tell little of that where a node is one of many, so a server laden well beyond the others is
     * passed over, as in consistent hashing with bounded loads; a key then goes on to its next draw. What was
     * told wears off in about the time in which it is worked off, else who is passed over once stays so. */
    private boolean isLaden(Server server) {
        double mean = heldByAll / Math.max(1, ready.length);
        double fresh = Math.exp((server.heldAt - now) / server.heldForUs);
        return mean + (server.held - mean) * fresh > LADEN_BY * mean + 1;
    }

    private void heed(Server server, AttemptOutcome outcome) {
        if (heldField >= 0 && outcome.report() != null && outcome.report().value(heldField) >= 0) {
            heldByAll += isCounted(server) ? outcome.report().value(heldField) - server.held : 0;
            server.held = outcome.report().value(heldField);
            server.heldAt = now;
            server.heldForUs = Math.max(1, outcome.latencyUs());
            heldCostUs += outcome.result() != AttemptResult.OK
                    ? 0
                    : Math.max(MEAN_GAIN, 1.0 / ++heldAnswers) * (outcome.latencyUs() / (server.held + 1) - heldCostUs);
        }
    }

    // ---------------------------------------------------------------- sending

    private void send(Call call, Server server) {
        long beginBy = call.mayBeginUntil(call.binding());
        int attempt = call.attempts++;
        call.servers[attempt] = server;
        call.sentAt[attempt] = now;
        call.outstanding++;
        hedgesLeft = Math.min(MOST_HEDGES, hedgesLeft + (attempt == 0 ? HEDGE_SHARE : 0));
        trialsLeft = Math.min(MOST_TRIALS, trialsLeft + (attempt == 0 ? TRIAL_SHARE : 0));
        usual.get(call.request.classIndex()).watched.add(new Try(call, attempt));
        server.inFlight++;
        inFlight += isCounted(server) ? 1 : 0;
        if (isCold(server)) {
            // A turn waits for a request that draws the server; where traffic is thin that takes as long as
            // the gap, and if the next gap began only then, most of the budget would be lost.
            server.coldSentAt = Math.max((long) (now - evenGap()), server.coldSentAt + coldGap(server));
        }
        out.send(call.request.id(), server.id, beginBy, call.deadlineAt);
    }

    // ---------------------------------------------------------------- the four rules

    /** Rule 1: the one final answer, a refusal wherever that is known to be harmless. */
    private void giveUp(Call call) {
        if (call.binding() < 0
                || call.cls.idempotency() == Idempotency.IDEMPOTENT
                || call.cls.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                        && call.cls.deduplicationScope() == DeduplicationScope.ALL) {
            out.reject(call.request.id(), set.maxRetryAfterUs);
        } else {
            out.fail(call.request.id());
        }
        end(call);
    }

    private void end(Call call) {
        call.ended = true;
        call.waiting = false;
        cancel(call, -1);
        forgetIfOver(call);
    }

    private void cancel(Call call, int except) {
        for (int i = 0; i < call.attempts && call.outstanding > 0 && set.cancellation; i++) {
            if (call.results[i] == null && i != except) {
                out.cancel(call.request.id(), i);
            }
        }
    }

    private void forgetIfOver(Call call) {
        if (call.ended && call.outstanding == 0) {
            calls.remove(call.request.id());
        }
    }

    /** Rule 2: whether any further attempt could be lawful, wherever it goes. */
    private boolean mayTryAgain(Call call) {
        if (call.attempts >= call.servers.length || now >= call.deadlineAt || call.bound >= 0) {
            return false;
        }
        int binding = call.binding();
        return binding < 0
                || call.cls.idempotency() != Idempotency.NON_IDEMPOTENT && now <= call.mayBeginUntil(binding);
    }

    /** Rules 2 to 4 for one server: the keyed group, the list's word, and a cold server's budget. */
    private boolean maySend(Call call, Server server) {
        return !server.overall.ejected
                && !server.byClass.get(call.request.classIndex()).ejected
                && !isLaden(server)
                && !isCrowded(call, server)
                && isAllowed(call, server);
    }

    private boolean isAllowed(Call call, Server server) {
        if (server.state != ServerState.READY || isCold(server) && now < server.coldSentAt + coldGap(server)) {
            return false;
        }
        int binding = call.cls.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY ? call.binding() : -1;
        return binding < 0
                || call.cls.deduplicationScope() == DeduplicationScope.ALL
                || (call.cls.deduplicationScope() == DeduplicationScope.ZONE
                        ? server.zone == call.servers[binding].zone
                        : server.cell == call.servers[binding].cell);
    }

    private boolean isCold(Server server) {
        return server.startedAt > 0 && now < server.startedAt + set.warmUpUs;
    }

    /** Exception, slow start (rule 4): the unit is an even part of what this node gets answered, times the
     * share of its capacity that a cold server has at least. All nodes together may send so many units as the
     * rule's multiple; each spends half of that, or all while it idles, so spaced that no burst does. Its
     * limit keeps a server slow besides below even that. Arrivals are no measure: jams add to them. */
    private long coldGap(Server server) {
        double age = Math.max(0, now - server.startedAt) / (double) set.warmUpUs;
        double share = set.warmUpInitialShare + (1 - set.warmUpInitialShare) * Math.min(1, age);
        // What unknown keys cost shows in its report: with no more than others it bears them.
        double room = server.heldAt > server.startedAt ? heldByAll / ready.length / server.held : 0;
        double units = Math.max(1, set.overloadMultiple / (room < 2 ? 2 : 1));
        return (long) (evenGap() * (set.keyAffinity && room < 1 ? UNKNOWN_KEY_COST : 1) / (share * units));
    }

    /** Time between two requests to a server that gets an even part of what this node gets answered. */
    private double evenGap() {
        return Math.max(servedGapUs, MEAN_GAIN * (now - lastServedAt)) * Math.max(1, ready.length);
    }
}
