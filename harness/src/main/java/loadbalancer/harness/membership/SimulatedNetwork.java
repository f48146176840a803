package loadbalancer.harness.membership;

import java.util.SplittableRandom;
import java.util.function.BiPredicate;
import java.util.zip.CRC32C;
import loadbalancer.harness.time.Timeline;
import loadbalancer.membership.codec.MembershipCodec;
import loadbalancer.membership.core.MembershipMessage;

/** Datagrams in simulated time: they arrive late, twice, in another order, or not at all. */
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

    /** One way takes the delay and up to the jitter more, evenly: with a jitter above the delay, order is lost. */
    public void setDelay(long newDelayUs, long newJitterUs) {
        delayUs = newDelayUs;
        jitterUs = newJitterUs;
    }

    /** These shares of datagrams are lost, and arrive twice. */
    public void setFaults(double lost, double duplicated) {
        lossShare = lost;
        duplicateShare = duplicated;
    }

    /** Nothing arrives from one member at another for whose names this holds. */
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

    /** The delay of one datagram. */
    long nextDelayUs() {
        return delayUs + (jitterUs == 0 ? 0 : random.nextLong(jitterUs));
    }

    /** Sends a datagram; whoever receives it is told by {@code deliver}, once for each copy that arrives. */
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

    /** CRC32C over all datagrams in the order in which they were sent: equal for two runs that sent the same. */
    long sentChecksum() {
        return sentChecksum.getValue();
    }
}
