package loadbalancer.rig.world;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import loadbalancer.policy.BalancerSettings;
import loadbalancer.policy.DeduplicationScope;
import loadbalancer.policy.LoadReportField;
import loadbalancer.policy.RequestClass;
import loadbalancer.policy.ServerEntry;
import loadbalancer.policy.ServerState;
import loadbalancer.rig.history.History;
import loadbalancer.rig.scenario.Scenario;
import loadbalancer.rig.time.Timeline;

/**
 * All that one run has: app servers, nodes, clients and their front, the list and the network. It lives in
 * whichever time it is given; what goes wrong comes from outside.
 */
public final class World {
    /** App servers that share which keys they have seen. */
    private static final int CELL = 8;

    private final Scenario scenario;
    private final Timeline time;
    private final History history;
    private final Map<String, AppServer> servers = new LinkedHashMap<>();
    private final List<NodePort> nodes = new ArrayList<>();
    private final Links links;
    private final ListModel list;
    private final Front front;
    private final Clients clients;
    private final Score score;

    /** A world as the scenario describes it, which writes all events to the history. */
    public World(Scenario scenario, Timeline time, History history) {
        this.scenario = scenario;
        this.time = time;
        this.history = history;
        links = new Links(scenario.net());
        list = new ListModel(time, history, scenario.list());
        score = new Score(scenario);
        front = new Front(nodes, time, scenario.clients().noticeUs());
        clients = new Clients(this);
        for (int i = 0; i < scenario.fleet().servers(); i++) {
            String id = "s" + i;
            servers.put(id, new AppServer(i, id, scenario, time, history, () -> fell(id)));
        }
    }

    /** One more node; before the start. */
    public void add(NodePort node) {
        nodes.add(node);
    }

    /** The same with simulated nodes, all of which decide by this policy. */
    public static World simulated(Scenario scenario, Timeline time, History history, Policy policy) {
        World world = new World(scenario, time, history);
        for (int i = 0; i < scenario.fleet().nodes(); i++) {
            world.add(new SimNode(i, world, policy));
        }
        return world;
    }

    /** Begins: servers warm and known to all, then nodes. */
    public void start() {
        for (AppServer server : servers.values()) {
            server.start(true);
            list.begin(entry(server));
        }
        nodes.forEach(NodePort::start);
    }

    /** Clients begin to ask, until the scenario's time is over. */
    public void open() {
        score.openedAt(time.nowUs());
        clients.start();
        time.after(scenario.lengthUs(), clients::stop);
    }

    /** How long after the first was asked all that was asked has had its time. */
    public long settledUs() {
        long longest = scenario.classes().stream()
                .mapToLong(Scenario.RequestClass::deadlineUs)
                .max()
                .orElse(0);
        return scenario.lengthUs() + longest + 4 * scenario.rules().answerGraceUs() + 1_000_000;
    }

    // ---------------------------------------------------------------- its parts

    public Scenario scenario() {
        return scenario;
    }

    public Timeline time() {
        return time;
    }

    public History history() {
        return history;
    }

    public Links links() {
        return links;
    }

    public ListModel list() {
        return list;
    }

    public Score score() {
        return score;
    }

    Front front() {
        return front;
    }

    /** In the order in which they were made. */
    public Map<String, AppServer> servers() {
        return servers;
    }

    public List<NodePort> nodes() {
        return nodes;
    }

    /** How many zones there are. */
    public int zones() {
        return scenario.fleet().zones().size();
    }

    /** Requests whose client still waits. */
    public long waiting() {
        return clients.open();
    }

    /** What an attempt takes; it differs from attempt to attempt of the same request. */
    public double attemptWork(NodePort.ClientRequest request, SplittableRandom random) {
        return request.workUs()
                * Chance.spread(
                        random, scenario.classes().get(request.classIndex()).attemptNoise());
    }

    // ---------------------------------------------------------------- what faults do

    /** A share of some things, at least one of them, in an order by chance. */
    public static <T> List<T> some(List<T> of, double part, SplittableRandom random) {
        List<T> mixed = new ArrayList<>(of);
        for (int i = mixed.size() - 1; i > 0; i--) {
            int j = random.nextInt(i + 1);
            T moved = mixed.get(i);
            mixed.set(i, mixed.get(j));
            mixed.set(j, moved);
        }
        return mixed.subList(0, Math.min(mixed.size(), Math.max(1, (int) Math.round(part * mixed.size()))));
    }

    /** The servers that a fault is injected into. */
    public List<AppServer> faultTargets(Scenario.FaultSpec fault, SplittableRandom random) {
        List<AppServer> all = List.copyOf(servers.values());
        return fault.on().isEmpty()
                ? some(all, fault.part(), random)
                : fault.on().stream()
                        .filter(number -> number < all.size())
                        .map(all::get)
                        .toList();
    }

    /** Starts an app server that had ended; it is cold. */
    public void startServer(AppServer server) {
        server.start(false);
        list.started(entry(server));
    }

    /** Ends an app server's process with no word to anybody. */
    public void killServer(AppServer server) {
        server.kill();
        list.gone(server.id(), false, false);
    }

    /** Asks for so many times as much. */
    public void burst(double factor) {
        clients.burst(factor);
    }

    /** Makes a share of one class take so many times the work; -1 ends it. */
    public void heavy(int classIndex, double share, double by) {
        clients.heavy(classIndex, share, by);
    }

    private void fell(String id) {
        AppServer server = servers.get(id);
        list.gone(id, false, false);
        time.after(scenario.rules().downUs(), () -> {
            if (!server.isUp() && !server.isSilent()) {
                startServer(server);
            }
        });
    }

    private ServerEntry entry(AppServer server) {
        int number = Integer.parseInt(server.id().substring(1));
        return new ServerEntry(server.id(), server.zone(), number / CELL, ServerState.READY, 1, server.startedUs());
    }

    /** What a node is told at its start. */
    public BalancerSettings settings(int me) {
        BalancerSettings settings = new BalancerSettings();
        settings.nodes = scenario.fleet().nodes();
        settings.nodeIndex = me;
        settings.localZone = scenario.fleet().zoneOfNode(me);
        settings.zones.addAll(scenario.fleet().zones());
        for (Scenario.RequestClass c : scenario.classes()) {
            settings.classes.add(new RequestClass(
                    c.name(),
                    c.latencyObjectiveUs(),
                    0,
                    c.deadlineUs(),
                    c.priorityWeight(),
                    0,
                    c.idempotency(),
                    DeduplicationScope.ALL,
                    0,
                    false));
        }
        settings.maxAttempts = scenario.rules().maxAttempts();
        settings.hedging = scenario.rules().hedging();
        settings.cancellation = scenario.rules().cancel();
        settings.connectTimeoutUs = scenario.net().connectTimeoutUs();
        settings.drainGraceUs = scenario.rules().drainGraceUs();
        settings.warmUpInitialShare = scenario.servers().stream()
                .mapToDouble(Scenario.ServerKind::warmUpInitialShare)
                .min()
                .orElseThrow();
        settings.warmUpUs = scenario.servers().stream()
                .mapToLong(Scenario.ServerKind::warmUpUs)
                .max()
                .orElseThrow();
        settings.overloadMultiple = scenario.rules().overloadMultiple();
        settings.overloadUs = scenario.rules().overloadUs();
        settings.crossZoneCost = scenario.prices().crossZone();
        settings.keyAffinity = scenario.servers().stream().anyMatch(kind -> kind.keyGain() > 0)
                && scenario.load().keys() > 0;
        settings.reportFields.add(LoadReportField.QUEUED);
        settings.reportFields.add(LoadReportField.IN_FLIGHT);
        return settings;
    }
}
