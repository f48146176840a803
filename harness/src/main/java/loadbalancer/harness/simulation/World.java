package loadbalancer.harness.simulation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import loadbalancer.harness.history.History;
import loadbalancer.harness.scenario.Scenario;
import loadbalancer.harness.time.Timeline;
import loadbalancer.policy.BalancerSettings;
import loadbalancer.policy.DeduplicationScope;
import loadbalancer.policy.LoadReportField;
import loadbalancer.policy.RequestClass;
import loadbalancer.policy.ServerEntry;
import loadbalancer.policy.ServerState;

/**
 * Everything in one run: app servers, nodes, clients and their front, the list and the network. It lives in
 * whichever time it is given; faults are injected from outside.
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
            servers.put(id, new AppServer(i, id, scenario, time, history, () -> onCollapse(id)));
        }
    }

    /** Adds a node; before the start. */
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

    /** Starts the servers, warm and known to all, and then the nodes. */
    public void start() {
        for (AppServer server : servers.values()) {
            server.start(true);
            list.addInitial(entry(server));
        }
        nodes.forEach(NodePort::start);
    }

    /** Clients begin to send, until the scenario's time is over. */
    public void startClients() {
        score.onClientsStarted(time.nowUs());
        clients.start();
        time.after(scenario.lengthUs(), clients::stop);
    }

    /** How long after the start of the clients every request is past its deadline. */
    public long endUs() {
        long longest = scenario.classes().stream()
                .mapToLong(Scenario.RequestClass::deadlineUs)
                .max()
                .orElse(0);
        return scenario.lengthUs() + longest + 4 * scenario.rules().responseGraceUs() + 1_000_000;
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

    /** Requests whose client still waits for a response. */
    public long openRequests() {
        return clients.openRequests();
    }

    /** The work of an attempt, which differs from attempt to attempt of the same request. */
    public double attemptWork(NodePort.ClientRequest request, SplittableRandom random) {
        return request.workUs()
                * Distributions.spread(
                        random, scenario.classes().get(request.classIndex()).attemptNoise());
    }

    // ---------------------------------------------------------------- what faults do

    /** A random share of these, at least one, in random order. */
    public static <T> List<T> randomShare(List<T> all, double share, SplittableRandom random) {
        List<T> mixed = new ArrayList<>(all);
        for (int i = mixed.size() - 1; i > 0; i--) {
            int j = random.nextInt(i + 1);
            T moved = mixed.get(i);
            mixed.set(i, mixed.get(j));
            mixed.set(j, moved);
        }
        return mixed.subList(0, Math.min(mixed.size(), Math.max(1, (int) Math.round(share * mixed.size()))));
    }

    /** The servers that a fault is injected into. */
    public List<AppServer> faultTargets(Scenario.FaultSpec fault, SplittableRandom random) {
        List<AppServer> all = List.copyOf(servers.values());
        return fault.on().isEmpty()
                ? randomShare(all, fault.part(), random)
                : fault.on().stream()
                        .filter(number -> number < all.size())
                        .map(all::get)
                        .toList();
    }

    /** Starts an app server that had ended; it is cold. */
    public void startServer(AppServer server) {
        server.start(false);
        list.add(entry(server));
    }

    /** Kills an app server. Discovery is not notified, and finds out late. */
    public void killServer(AppServer server) {
        server.kill();
        list.remove(server.id(), false, false);
    }

    /** Multiplies the load by this; 1 ends it. */
    public void setLoadFactor(double factor) {
        clients.setLoadFactor(factor);
    }

    /** Multiplies the work of a share of one class; a class of -1 ends it. */
    public void setHeavyTail(int classIndex, double share, double factor) {
        clients.setHeavyTail(classIndex, share, factor);
    }

    private void onCollapse(String id) {
        AppServer server = servers.get(id);
        list.remove(id, false, false);
        time.after(scenario.rules().downUs(), () -> {
            if (!server.isUp() && !server.isUnreachable()) {
                startServer(server);
            }
        });
    }

    private ServerEntry entry(AppServer server) {
        int number = Integer.parseInt(server.id().substring(1));
        return new ServerEntry(server.id(), server.zone(), number / CELL, ServerState.READY, 1, server.startedUs());
    }

    /** The settings of a node, as its configuration file has them. */
    public BalancerSettings settings(int nodeIndex) {
        BalancerSettings settings = new BalancerSettings();
        settings.nodes = scenario.fleet().nodes();
        settings.nodeIndex = nodeIndex;
        settings.localZone = scenario.fleet().zoneOfNode(nodeIndex);
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
