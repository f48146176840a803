package loadbalancer.harness.baseline;

import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import loadbalancer.harness.simulation.AppServer;
import loadbalancer.harness.simulation.Policy;
import loadbalancer.policy.BalancerActions;
import loadbalancer.policy.BalancerSettings;

/** The policies by name that a run can use for comparison, including the decision module itself. */
public final class Baselines {
    private static final Map<String, Policy> BY_NAME = new TreeMap<>(Map.of(
            "module", Policy.MODULE,
            "random", (settings, seed, actions, servers) -> new Random(settings, seed, actions),
            "round-robin", (settings, seed, actions, servers) -> new RoundRobin(settings, seed, actions),
            "least-outstanding", (settings, seed, actions, servers) -> new LeastOutstanding(settings, seed, actions),
            "two-choices", (settings, seed, actions, servers) -> new TwoChoices(settings, seed, actions),
            "plain", (settings, seed, actions, servers) -> new Plain(settings, seed, actions),
            "oracle", (settings, seed, actions, servers) -> new Oracle(settings, seed, actions, servers)));

    private Baselines() {}

    public static List<String> names() {
        return List.copyOf(BY_NAME.keySet());
    }

    /** Returns the policy with this name, or null. */
    public static Policy named(String name) {
        return BY_NAME.get(name);
    }

    /** Chooses a server at random, all with equal probability. */
    private static class Random extends Baseline {
        final SplittableRandom random;

        Random(BalancerSettings settings, long seed, BalancerActions actions) {
            super(settings, actions);
            random = new SplittableRandom(seed);
        }

        @Override
        String choose(List<String> candidates) {
            return candidates.get(random.nextInt(candidates.size()));
        }
    }

    /** Chooses the servers in turn. */
    private static final class RoundRobin extends Random {
        private int turn;

        RoundRobin(BalancerSettings settings, long seed, BalancerActions actions) {
            super(settings, seed, actions);
            // A random start, as nodes that all start with the first server would proceed in step.
            turn = random.nextInt(1 << 20);
        }

        @Override
        String choose(List<String> candidates) {
            return candidates.get(turn++ % candidates.size());
        }
    }

    /** Chooses the server with the fewest attempts of this node in flight; ties at random. */
    private static final class LeastOutstanding extends Random {
        LeastOutstanding(BalancerSettings settings, long seed, BalancerActions actions) {
            super(settings, seed, actions);
        }

        @Override
        String choose(List<String> candidates) {
            int least = candidates.stream().mapToInt(this::inFlight).min().orElseThrow();
            List<String> best =
                    candidates.stream().filter(s -> inFlight(s) == least).toList();
            return best.get(random.nextInt(best.size()));
        }
    }

    /** Draws two servers at random and chooses the one with fewer attempts of this node in flight. */
    private static class TwoChoices extends Random {
        TwoChoices(BalancerSettings settings, long seed, BalancerActions actions) {
            super(settings, seed, actions);
        }

        String draw(List<String> candidates) {
            return candidates.get(random.nextInt(candidates.size()));
        }

        @Override
        String choose(List<String> candidates) {
            String first = draw(candidates);
            String second = draw(candidates);
            return inFlight(second) < inFlight(first) ? second : first;
        }
    }

    /** The published ServiceQ mechanism only: draws two servers by weights that decrease with their errors. */
    private static final class Plain extends TwoChoices {
        private final Map<String, Integer> errors = new HashMap<>();

        Plain(BalancerSettings settings, long seed, BalancerActions actions) {
            super(settings, seed, actions);
        }

        @Override
        void onResult(String server, boolean served) {
            if (served) {
                errors.remove(server);
            } else {
                errors.merge(server, 1, Integer::sum);
            }
        }

        @Override
        String draw(List<String> candidates) {
            int most = candidates.stream()
                    .mapToInt(s -> errors.getOrDefault(s, 0))
                    .max()
                    .orElseThrow();
            double effect = Math.floor(Math.pow(1 + most, 1.5));
            long[] weights = candidates.stream()
                    .mapToLong(s -> (long) Math.ceil(effect / (1 + errors.getOrDefault(s, 0))))
                    .toArray();
            long at = random.nextLong(Arrays.stream(weights).sum());
            int i = 0;
            while (at >= weights[i]) {
                at -= weights[i++];
            }
            return candidates.get(i);
        }
    }

    /** Chooses by the actual load and capacity of the server models, which no real node can observe. */
    private static final class Oracle extends Random {
        private final Map<String, AppServer> servers;

        Oracle(BalancerSettings settings, long seed, BalancerActions actions, Map<String, AppServer> servers) {
            super(settings, seed, actions);
            this.servers = servers;
        }

        @Override
        String choose(List<String> candidates) {
            return candidates.stream()
                    .min(Comparator.comparingDouble(this::wait))
                    .orElseThrow();
        }

        private double wait(String id) {
            AppServer server = servers.get(id);
            return (server.requestCount() + 1) / server.currentCapacity();
        }
    }
}
