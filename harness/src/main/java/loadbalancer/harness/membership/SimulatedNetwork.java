package loadbalancer.harness.membership;

import java.util.SplittableRandom;
import java.util.function.BiPredicate;
import java.util.zip.CRC32C;
import loadbalancer.harness.time.Timeline;
import loadbalancer.membership.codec.MembershipCodec;
import loadbalancer.membership.core.MembershipMessage;

/** A simulated datagram network that delays, duplicates, reorders and loses datagrams. */
public final class SimulatedNetwork {
    private static final String RANDOM_STREAM = "datagrams";
    private static final String FLEET = "simulated";

    private final Timeline time;
    private final SplittableRandom random;
    private final MembershipCodec codec = new MembershipCodec(FLEET);
    private long delayUs = 500;
    private long jitterUs = 500;
    private double lossShare;
    private double duplicateShare;
    private BiPredicate<String, String> partition = (from, to) -> false;
    private long sentCount;
    private long sentBytes;
    private final CRC32C sentChecksum = new CRC32C();

    SimulatedNetwork(Timeline time) {
        this.time = time;
        random = time.stream(RANDOM_STREAM);
    }

    /**
     * Sets the one-way delay, which is uniformly distributed from the delay to the sum of delay and jitter. Datagrams
     * may be reordered within the jitter.
     */
    public void setDelay(long newDelayUs, long newJitterUs) {
        delayUs = newDelayUs;
        jitterUs = newJitterUs;
    }

    /** Sets the shares of datagrams that are lost and that are duplicated. */
    public void setFaults(double lost, double duplicated) {
        lossShare = lost;
        duplicateShare = duplicated;
    }

    /** Drops datagrams between members, by name of sender and receiver, for which the predicate holds. */
    public void partition(BiPredicate<String, String> isCut) {
        partition = isCut;
    }

    /** Ends a partition. */
    public void heal() {
        partition = (from, to) -> false;
    }

    boolean isCut(String from, String to) {
        return partition.test(from, to);
    }

    /** Returns a random delay for one datagram. */
    long nextDelayUs() {
        return delayUs + (jitterUs == 0 ? 0 : random.nextLong(jitterUs));
    }

    /** Sends a datagram. {@code deliver} is called for each copy that arrives. */
    void send(String from, String to, MembershipMessage message, Runnable deliver) {
        count(message);
        int copies = nextCopies();
        for (int i = 0; i < copies; i++) {
            time.after(nextDelayUs(), () -> {
                if (!isCut(from, to)) {
                    deliver.run();
                }
            });
        }
    }

    private int nextCopies() {
        if (random.nextDouble() < lossShare) {
            return 0;
        }
        return random.nextDouble() < duplicateShare ? 2 : 1;
    }

    private void count(MembershipMessage message) {
        byte[] frame = codec.encode(message);
        sentCount++;
        sentBytes += frame.length;
        sentChecksum.update(frame);
    }

    long sentCount() {
        return sentCount;
    }

    long sentBytes() {
        return sentBytes;
    }

    /**
     * Returns the CRC32C over all datagrams in the order of sending. Two runs that sent the same have the same value.
     */
    long sentChecksum() {
        return sentChecksum.getValue();
    }
}
