package loadbalancer.harness.scenario;

import java.util.List;
import loadbalancer.policy.Idempotency;

/**
 * All that one run is made of, but for its seed. Lengths of time are microseconds; shares lie between 0 and
 * 1. What each figure does stands in {@code docs/model.md}.
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
     * How many there are of each, and where. What stands in the lists is by number; where one is empty, nodes
     * and servers go round the zones, servers are of the first kind, and their speeds are drawn.
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

        /** With fewer of both, the first ones. */
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
     * What clients ask for.
     *
     * @param perSecond first tries of all clients together
     * @param zoneSkew by how much the busiest zone has more than the mean, and the quietest less
     * @param keys things that requests are about; 0 for none
     * @param keyZipf how uneven these are asked for
     * @param zoneShares in place of the skew, where not empty: what part each zone's clients ask for
     * @param shape by how much more or less is asked for in each second; from its last on, as in that
     */
    public record Load(
            double perSecond, double zoneSkew, int keys, double keyZipf, List<Double> zoneShares, List<Double> shape) {

        /** With this much asked for, and so many keys. */
        public Load with(double otherPerSecond, int otherKeys) {
            return new Load(otherPerSecond, zoneSkew, otherKeys, keyZipf, zoneShares, shape);
        }
    }

    /**
     * @param share of all first tries
     * @param workUs mean work on a standard core
     * @param cv spread of the work over its mean, from request to request
     * @param attemptNoise the same from attempt to attempt of one request
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
     * @param tries a client makes at most
     * @param tryShare of its time left that it gives each try but the last
     * @param abandonShare share of first tries that the client leaves early
     */
    public record Clients(
            int tries, double tryShare, long backoffUs, double abandonShare, boolean marksRepeats, long noticeUs) {}

    /** One way from one party to another: mean, and the spread around it as a share. */
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

    /** How late nodes hear of what: starts, planned changes, deaths, and machines that fall silent. */
    public record ServerList(long addUs, long changeUs, long deathUs, long unreachableUs, long spreadUs) {}

    /** What an app server is; see {@code AppServer}. */
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

    /** What the platform forbids, in figures. */
    public record Rules(
            int maxAttempts,
            boolean hedging,
            boolean cancel,
            long drainGraceUs,
            long responseGraceUs,
            double overloadMultiple,
            long overloadUs,
            long downUs) {}

    /** What G is made of: shares of the whole, the worst window and the worst class, and what comes off. */
    public record Prices(
            double whole, double worstWindow, double worstClass, double crossZone, double waste, double lateFail) {}

    /**
     * A fault that is injected during the run.
     *
     * @param part share of the possible targets
     * @param size how hard, in the unit of its kind
     * @param on the numbers of the target servers, or of the class, in place of a random part; or
     *    empty
     */
    public record FaultSpec(
            String kind, long atUs, long lengthUs, double part, double size, double extra, List<Integer> on) {}

    /** Mean work of a request on a standard core. */
    public double meanWorkUs() {
        return classes.stream().mapToDouble(c -> c.share() * c.workUs()).sum();
    }

    /** The same with other faults. */
    public Scenario with(List<FaultSpec> others) {
        return new Scenario(
                name, lengthUs, fleet, load, classes, clients, net, list, servers, rules, prices, List.copyOf(others));
    }

    /** The same with another length, fleet and load. */
    public Scenario with(long length, Fleet other, Load less) {
        return new Scenario(name, length, other, less, classes, clients, net, list, servers, rules, prices, faults);
    }
}
