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

/** The policies that a fleet can be compared with, by name. */
public final class Baselines {
    private static final Map<String, Policy> BY_NAME = new TreeMap<>(Map.of(
            "module", Policy.MODULE,
            "random", (settings, seed, out, servers) -> new Random(settings, seed, out),
            "round-robin", (settings, seed, out, servers) -> new RoundRobin(settings, seed, out),
            "least-outstanding", (settings, seed, out, servers) -> new LeastOutstanding(settings, seed, out),
            "two-choices", (settings, seed, out, servers) -> new TwoChoices(settings, seed, out),
            "plain", (settings, seed, out, servers) -> new Plain(settings, seed, out),
            "oracle", (settings, seed, out, servers) -> new Oracle(settings, seed, out, servers)));

    private Baselines() {}

    public static List<String> names() {
        return List.copyOf(BY_NAME.keySet());
    }

    /** The policy of a name, or null. */
    public static Policy named(String name) {
        return BY_NAME.get(name);
    }

    /** Any server, all alike. */
    private static class Random extends Baseline {
        final SplittableRandom random;

        Random(BalancerSettings settings, long seed, BalancerActions out) {
            super(settings, out);
            random = new SplittableRandom(seed);
        }

        @Override
        String choose(List<String> among) {
            return among.get(random.nextInt(among.size()));
        }
    }

    /** Each in its turn. */
    private static final class RoundRobin extends Random {
        private int turn;

        RoundRobin(BalancerSettings settings, long seed, BalancerActions out) {
            super(settings, seed, out);
            // Nodes that all began with the first server would go round together.
            turn = random.nextInt(1 << 20);
        }

        @Override
        String choose(List<String> among) {
            return among.get(turn++ % among.size());
        }
    }

    /** The one with the fewest own requests in flight; ties at random. */
    private static final class LeastOutstanding extends Random {
        LeastOutstanding(BalancerSettings settings, long seed, BalancerActions out) {
            super(settings, seed, out);
        }

        @Override
        String choose(List<String> among) {
            int least = among.stream().mapToInt(this::inFlight).min().orElseThrow();
            List<String> best = among.stream().filter(s -> inFlight(s) == least).toList();
            return best.get(random.nextInt(best.size()));
        }
    }

    /** The one of two drawn at random with fewer own requests in flight. */
    private static class TwoChoices extends Random {
        TwoChoices(BalancerSettings settings, long seed, BalancerActions out) {
            super(settings, seed, out);
        }

        String draw(List<String> among) {
            return among.get(random.nextInt(among.size()));
        }

        @Override
        String choose(List<String> among) {
            String first = draw(among);
            String second = draw(among);
            return inFlight(second) < inFlight(first) ? second : first;
        }
    }

    /** The paper's mechanism and nothing else: two drawn by weights that fall with the count of errors. */
    private static final class Plain extends TwoChoices {
        private final Map<String, Integer> errors = new HashMap<>();

        Plain(BalancerSettings settings, long seed, BalancerActions out) {
            super(settings, seed, out);
        }

        @Override
        void learn(String server, boolean served) {
            if (served) {
                errors.remove(server);
            } else {
                errors.merge(server, 1, Integer::sum);
            }
        }

        @Override
        String draw(List<String> among) {
            int most = among.stream()
                    .mapToInt(s -> errors.getOrDefault(s, 0))
                    .max()
                    .orElseThrow();
            double effect = Math.floor(Math.pow(1 + most, 1.5));
            long[] weights = among.stream()
                    .mapToLong(s -> (long) Math.ceil(effect / (1 + errors.getOrDefault(s, 0))))
                    .toArray();
            long at = random.nextLong(Arrays.stream(weights).sum());
            int i = 0;
            while (at >= weights[i]) {
                at -= weights[i++];
            }
            return among.get(i);
        }
    }

    /** Sees what each server truly holds against what it can do: no real node can. */
    private static final class Oracle extends Random {
        private final Map<String, AppServer> servers;

        Oracle(BalancerSettings settings, long seed, BalancerActions out, Map<String, AppServer> servers) {
            super(settings, seed, out);
            this.servers = servers;
        }

        @Override
        String choose(List<String> among) {
            return among.stream().min(Comparator.comparingDouble(this::wait)).orElseThrow();
        }

        private double wait(String id) {
            AppServer server = servers.get(id);
            return (server.requestCount() + 1) / server.presentCapacity();
        }
    }
}
