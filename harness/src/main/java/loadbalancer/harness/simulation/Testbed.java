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
 * The testbed of one run: app servers, nodes, clients and their front, the endpoint list and the network. It runs on
 * the given timeline, simulated or real. Faults are injected by the caller.
 */
public final class Testbed {
    /** Number of app servers in a cell, the group of servers that share a record of the idempotency keys seen. */
    private static final int SERVERS_PER_CELL = 8;

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

    /** Creates the testbed that the scenario describes, without nodes. All events are written to the history. */
    public Testbed(Scenario scenario, Timeline time, History history) {
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
            servers.put(id, new AppServer(i, id, scenario, time, history, () -> onOverloadCrash(id)));
        }
    }

    /** Adds a node. Must be called before {@link #start}. */
    public void add(NodePort node) {
        nodes.add(node);
    }

    /** Creates the testbed with simulated nodes, all of which use this policy. */
    public static Testbed simulated(Scenario scenario, Timeline time, History history, Policy policy) {
        Testbed testbed = new Testbed(scenario, time, history);
        for (int i = 0; i < scenario.fleet().nodes(); i++) {
            testbed.add(new SimNode(i, testbed, policy));
        }
        return testbed;
    }

    /** Starts the servers, warmed up and on every node's list, and then the nodes. */
    public void start() {
        for (AppServer server : servers.values()) {
            server.start(true);
            list.addInitial(entry(server));
        }
        nodes.forEach(NodePort::start);
    }

    /** Starts the clients, which send requests for the scenario's duration. */
    public void startClients() {
        score.onClientsStarted(time.nowUs());
        clients.start();
        time.after(scenario.lengthUs(), clients::stop);
    }

    /** Returns the time after the start of the clients by which every request is past its deadline. */
    public long endUs() {
        long longest = scenario.classes().stream()
                .mapToLong(Scenario.RequestClass::deadlineUs)
                .max()
                .orElse(0);
        return scenario.lengthUs() + longest + 4 * scenario.rules().responseGraceUs() + 1_000_000;
    }

    // ---------------------------------------------------------------- components

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

    /** Returns all app servers by id, in order of creation. */
    public Map<String, AppServer> servers() {
        return servers;
    }

    public List<NodePort> nodes() {
        return nodes;
    }

    public int zones() {
        return scenario.fleet().zones().size();
    }

    /** Returns the number of requests whose client still waits for a response. */
    public long openRequests() {
        return clients.openRequests();
    }

    /** Draws the work of one attempt; it varies between attempts of the same request. */
    public double attemptWork(NodePort.ClientRequest request, SplittableRandom random) {
        return request.workUs()
                * Distributions.spread(
                        random, scenario.classes().get(request.classIndex()).attemptNoise());
    }

    // ---------------------------------------------------------------- operations of faults

    /** Returns a random share of these elements, at least one unless there are none, in random order. */
    public static <T> List<T> randomShare(List<T> all, double share, SplittableRandom random) {
        List<T> shuffled = new ArrayList<>(all);
        for (int i = shuffled.size() - 1; i > 0; i--) {
            int j = random.nextInt(i + 1);
            T swapped = shuffled.get(i);
            shuffled.set(i, shuffled.get(j));
            shuffled.set(j, swapped);
        }
        return shuffled.subList(0, Math.min(shuffled.size(), Math.max(1, (int) Math.round(share * shuffled.size()))));
    }

    /** Returns the servers that a fault applies to: those it names, or a random share. */
    public List<AppServer> faultTargets(Scenario.FaultSpec fault, SplittableRandom random) {
        List<AppServer> all = List.copyOf(servers.values());
        return fault.on().isEmpty()
                ? randomShare(all, fault.part(), random)
                : fault.on().stream()
                        .filter(number -> number < all.size())
                        .map(all::get)
                        .toList();
    }

    /** Restarts an app server that has ended. It starts cold. */
    public void startServer(AppServer server) {
        server.start(false);
        list.add(entry(server));
    }

    /** Kills an app server. Discovery is not notified and detects it after a delay. */
    public void killServer(AppServer server) {
        server.kill();
        list.remove(server.id(), false, false);
    }

    /** Multiplies the request rate by this factor; 1 restores the scenario's rate. */
    public void setLoadFactor(double factor) {
        clients.setLoadFactor(factor);
    }

    /** Multiplies the work of a share of the requests of one class; class -1 ends it. */
    public void setHeavyTail(int classIndex, double share, double factor) {
        clients.setHeavyTail(classIndex, share, factor);
    }

    private void onOverloadCrash(String id) {
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
        return new ServerEntry(
                server.id(), server.zone(), number / SERVERS_PER_CELL, ServerState.READY, 1, server.startedUs());
    }

    /** Returns the settings that a node's configuration file contains. */
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
