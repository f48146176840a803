package loadbalancer.membership.core;

import java.util.List;
import java.util.SplittableRandom;

/** Source of all random choices of the protocol. The same events and seed produce the same choices. */
final class ProtocolRandom {
    private final SplittableRandom random;

    ProtocolRandom(long seed) {
        random = new SplittableRandom(seed);
    }

    int nextInt(int bound) {
        return random.nextInt(bound);
    }

    long nextLong(long bound) {
        return random.nextLong(bound);
    }

    /** Returns a uniformly distributed value from 0.5 to 1.5 times the mean. */
    long aroundMean(long mean) {
        return mean / 2 + random.nextLong(mean);
    }

    <T> T removeOne(List<T> from) {
        return from.remove(random.nextInt(from.size()));
    }

    <T> void insert(List<T> into, T element) {
        into.add(random.nextInt(into.size() + 1), element);
    }

    <T> void shuffle(List<T> list) {
        for (int i = list.size() - 1; i > 0; i--) {
            int j = random.nextInt(i + 1);
            T moved = list.get(i);
            list.set(i, list.get(j));
            list.set(j, moved);
        }
    }
}
