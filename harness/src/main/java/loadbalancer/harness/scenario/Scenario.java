package loadbalancer.harness.scenario;

import java.util.List;
import loadbalancer.policy.Idempotency;

/**
 * The parameters of a run except its seed. Durations are in microseconds; shares are between 0 and 1.
 * {@code docs/model.md} describes the effect of each parameter.
 *
 * @param lengthUs how long clients send requests
 */
public record Scenario(
        String name,
        long lengthUs,
        Fleet fleet,
        Load load,
        List<RequestClass> classes,
        Clients clients,
        Net net,
        ServerList list,
        List<ServerKind> servers,
        Rules rules,
        Prices prices,
        List<FaultSpec> faults) {

    /**
     * Number and placement of nodes and app servers. The lists are indexed by the number of the node or server. If a
     * list is empty, nodes and servers are assigned to the zones in turn, servers are of the first kind, and their
     * speeds are random.
     *
     * @param readyAfterUs from the start of a node until it is ready
     * @param nodeZones index of each node's zone
     * @param serverZones index of each server's zone
     * @param serverKinds index of each server's kind
     * @param speeds speed of each server, relative to a standard core
     */
    public record Fleet(
            int nodes,
            int servers,
            List<String> zones,
            long readyAfterUs,
            List<Integer> nodeZones,
            List<Integer> serverZones,
            List<Integer> serverKinds,
            List<Double> speeds) {

        public int zoneOfNode(int number) {
            return nodeZones.isEmpty() ? number % zones.size() : nodeZones.get(number);
        }

        public int zoneOfServer(int number) {
            return serverZones.isEmpty() ? number % zones.size() : serverZones.get(number);
        }

        public int kindOfServer(int number) {
            return serverKinds.isEmpty() ? 0 : serverKinds.get(number);
        }

        /** Returns a fleet with only the first nodes and servers. */
        public Fleet first(int fewerNodes, int fewerServers) {
            return new Fleet(
                    fewerNodes,
                    fewerServers,
                    zones,
                    readyAfterUs,
                    head(nodeZones, fewerNodes),
                    head(serverZones, fewerServers),
                    head(serverKinds, fewerServers),
                    head(speeds, fewerServers));
        }

        private static <T> List<T> head(List<T> of, int count) {
            return of.isEmpty() ? of : of.subList(0, count);
        }
    }

    /**
     * The load from the clients.
     *
     * @param perSecond first tries per second of all clients together
     * @param zoneSkew relative difference of the busiest and the quietest zone from the mean load of a zone
     * @param keys number of different keys that requests have; 0 for requests without keys
     * @param keyZipf exponent of the Zipf distribution of the keys
     * @param zoneShares share of the load from each zone; if not empty, it replaces the skew
     * @param shape factor of the load in each second of the run; the last one also applies to all later seconds
     */
    public record Load(
            double perSecond, double zoneSkew, int keys, double keyZipf, List<Double> zoneShares, List<Double> shape) {

        /** Returns the same load with another rate and number of keys. */
        public Load with(double otherPerSecond, int otherKeys) {
            return new Load(otherPerSecond, zoneSkew, otherKeys, keyZipf, zoneShares, shape);
        }
    }

    /**
     * A class of requests.
     *
     * @param share of all first tries
     * @param workUs mean work on a standard core
     * @param cv coefficient of variation of the work of different requests
     * @param attemptNoise coefficient of variation of the work of different attempts of one request
     */
    public record RequestClass(
            String name,
            double share,
            long workUs,
            double cv,
            double attemptNoise,
            long latencyObjectiveUs,
            long deadlineUs,
            double priorityWeight,
            Idempotency idempotency) {}

    /**
     * Behavior of the clients.
     *
     * @param tries maximum number of tries of a client
     * @param tryShare share of the remaining time that a client gives to each try except the last
     * @param backoffUs time between two tries
     * @param abandonShare share of first tries that the client abandons early
     * @param marksRepeats whether a client marks a repeated request as such
     * @param noticeUs how late the clients' front notices that a node has ended
     */
    public record Clients(
            int tries, double tryShare, long backoffUs, double abandonShare, boolean marksRepeats, long noticeUs) {}

    /**
     * The network.
     *
     * @param sameZoneUs mean one-way delay within a zone
     * @param crossZoneUs mean one-way delay between zones
     * @param clientUs mean one-way delay between clients and nodes
     * @param jitter spread of the delays, as a share of the mean
     * @param handshakeTrips round trips before a new connection can carry a request
     * @param handshakeWorkUs work of an app server for a new connection
     * @param idleUs how long an idle connection can be reused
     */
    public record Net(
            long sameZoneUs,
            long crossZoneUs,
            long clientUs,
            double jitter,
            long connectTimeoutUs,
            int handshakeTrips,
            long handshakeWorkUs,
            int connectionsPerCore,
            long idleUs) {}

    /**
     * Delays of the endpoint list.
     *
     * @param addUs from the start of an app server until it is listed
     * @param changeUs from a planned change until it is listed
     * @param deathUs from the end of a process until it is listed
     * @param unreachableUs from when a machine becomes unreachable until this is listed
     * @param spreadUs maximum additional delay until a node is notified
     */
    public record ServerList(long addUs, long changeUs, long deathUs, long unreachableUs, long spreadUs) {}

    /** Parameters of an app server; {@code AppServer} implements them. Slots, queue and keys are counted per core. */
    public record ServerKind(
            int cores,
            double speed,
            double speedCv,
            int slots,
            int queue,
            double thrash,
            int thrashAt,
            double warmUpInitialShare,
            long warmUpUs,
            long pauseEveryUs,
            long pauseUs,
            double pauseGrow,
            double errorRate,
            int keyCacheSize,
            long keyCacheUs,
            double keyGain,
            long reportEveryUs,
            long reportDelayUs,
            double reportNoise,
            boolean dropsExpired) {}

    /**
     * Limits of the platform.
     *
     * @param hedging whether a request may have concurrent attempts
     * @param cancel whether attempts may be cancelled
     * @param responseGraceUs how late a final response may be after the deadline
     * @param overloadMultiple multiple of a cold server's capacity at which it collapses
     * @param overloadUs the window over which that load is counted
     * @param downUs how long a collapsed server is down
     */
    public record Rules(
            int maxAttempts,
            boolean hedging,
            boolean cancel,
            long drainGraceUs,
            long responseGraceUs,
            double overloadMultiple,
            long overloadUs,
            long downUs) {}

    /**
     * Weights of the score G.
     *
     * @param whole weight of the score over the whole run
     * @param worstWindow weight of the score of the worst window
     * @param worstClass weight of the score of the worst class
     * @param crossZone deduction for attempts that cross zones
     * @param waste deduction for wasted work
     * @param lateFail deduction for late failures
     */
    public record Prices(
            double whole, double worstWindow, double worstClass, double crossZone, double waste, double lateFail) {}

    /**
     * A fault that is injected during the run.
     *
     * @param part share of the possible targets that is affected, at random
     * @param size severity, in the unit of its kind
     * @param extra a second parameter, which only some kinds have
     * @param on the numbers of the target servers, or of the class, instead of a random choice; may be empty
     */
    public record FaultSpec(
            String kind, long atUs, long lengthUs, double part, double size, double extra, List<Integer> on) {}

    /** Returns the mean work of a request on a standard core. */
    public double meanWorkUs() {
        return classes.stream().mapToDouble(c -> c.share() * c.workUs()).sum();
    }

    /** Returns the same scenario with other faults. */
    public Scenario with(List<FaultSpec> others) {
        return new Scenario(
                name, lengthUs, fleet, load, classes, clients, net, list, servers, rules, prices, List.copyOf(others));
    }

    /** Returns the same scenario with another length, fleet and load. */
    public Scenario with(long length, Fleet other, Load less) {
        return new Scenario(name, length, other, less, classes, clients, net, list, servers, rules, prices, faults);
    }
}
