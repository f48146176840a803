package loadbalancer.rig.members;

import java.util.SplittableRandom;
import java.util.function.BiPredicate;
import java.util.zip.CRC32C;
import loadbalancer.membership.codec.MembershipCodec;
import loadbalancer.membership.core.MembershipMessage;
import loadbalancer.rig.time.Timeline;

/**
 * A network of datagrams in simulated time: what comes through does so late, twice, in another order, or not
 * at all.
 */
public final class DatagramNet {
    private final Timeline time;
    private final SplittableRandom random;
    private long delayUs = 500;
    private long jitterUs = 500;
    private double loss;
    private double duplicated;
    private final MembershipCodec codec = new MembershipCodec("simulated");
    private long sent;
    private long sentBytes;
    private final CRC32C sentChecksum = new CRC32C();
    private BiPredicate<String, String> cut = (from, to) -> false;

    DatagramNet(Timeline time) {
        this.time = time;
        random = time.stream("datagrams");
    }

    /** One way takes this and up to so much more, evenly: with more jitter than distance, order is lost. */
    public void delay(long us, long jitter) {
        delayUs = us;
        jitterUs = jitter;
    }

    /** These shares are lost, and come twice. */
    public void harm(double lost, double twice) {
        loss = lost;
        duplicated = twice;
    }

    /** Nothing comes through from one process to another where this holds of their names. */
    public void cut(BiPredicate<String, String> between) {
        cut = between;
    }

    public void heal() {
        cut = (from, to) -> false;
    }

    boolean isCut(String from, String to) {
        return cut.test(from, to);
    }

    long delay() {
        return delayUs + (jitterUs == 0 ? 0 : random.nextLong(jitterUs));
    }

    /** A datagram goes out, wherever it ends. */
    void count(MembershipMessage message) {
        byte[] frame = codec.encode(message);
        sent++;
        sentBytes += frame.length;
        sentChecksum.update(frame);
    }

    /** CRC32C over all datagrams in the order in which they were sent: equal for two runs that sent the same. */
    long sentChecksum() {
        return sentChecksum.getValue();
    }

    long sent() {
        return sent;
    }

    long sentBytes() {
        return sentBytes;
    }

    void send(String from, String to, Runnable deliver) {
        int copies = random.nextDouble() < loss ? 0 : random.nextDouble() < duplicated ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            time.after(delay(), () -> {
                if (!cut.test(from, to)) {
                    deliver.run();
                }
            });
        }
    }
}
