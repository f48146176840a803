package loadbalancer.harness.process;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import loadbalancer.harness.process.FaultLink.Direction;
import loadbalancer.harness.process.FaultLink.Faults;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class FaultLinkTest {
    private static final int MEGABYTE = 1 << 20;

    private final EventLoop loop = (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private ServerSocket target;
    private FaultLink link;
    private Socket near;
    private Socket far;

    @BeforeEach
    void connect() throws IOException {
        target = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        link = new FaultLink(
                loop, "127.0.0.78", (InetSocketAddress) target.getLocalSocketAddress(), new SplittableRandom(1));
        near = new Socket(link.address().getAddress(), link.address().getPort());
        far = target.accept();
        near.setSoTimeout(20_000);
        far.setSoTimeout(20_000);
    }

    @AfterEach
    void close() throws IOException {
        near.close();
        far.close();
        link.close();
        target.close();
        loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** What is set holds once this returns: the loop has run it. */
    private void set(Direction direction, Faults faults) {
        link.set(direction, faults);
        loop.submit(() -> {}).awaitUninterruptibly();
    }

    private static byte[] bytes(int count) {
        byte[] bytes = new byte[count];
        new Random(1).nextBytes(bytes);
        return bytes;
    }

    @Test
    void withoutFaultsBothDirectionsAndTheCloseComeThrough() throws Exception {
        byte[] sent = bytes(MEGABYTE);
        CompletableFuture<byte[]> read = CompletableFuture.supplyAsync(() -> readAll(far));
        near.getOutputStream().write(sent);
        near.close();
        assertArrayEquals(sent, read.get(20, TimeUnit.SECONDS));
    }

    private static byte[] readAll(Socket from) {
        try {
            return from.getInputStream().readAllBytes();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void blockedDirectionQueuesUntilItHealsWhileTheOtherGoesOn() throws Exception {
        set(Direction.TO_TARGET, Faults.BLOCKED);
        near.getOutputStream().write(7);
        far.getOutputStream().write(8);
        assertEquals(8, near.getInputStream().read());
        far.setSoTimeout(100);
        assertThrows(SocketTimeoutException.class, () -> far.getInputStream().read());
        set(Direction.TO_TARGET, Faults.NONE);
        far.setSoTimeout(20_000);
        assertEquals(7, far.getInputStream().read());
    }

    @Test
    void delayAndRateLimitTakeTimeAndKeepOrder() throws Exception {
        set(Direction.TO_TARGET, Faults.delayed(50_000, 20_000));
        long start = System.nanoTime();
        byte[] sent = bytes(200);
        for (byte b : sent) {
            near.getOutputStream().write(b);
        }
        assertArrayEquals(sent, far.getInputStream().readNBytes(200));
        assertTrue(System.nanoTime() - start >= 50_000_000L);
        set(Direction.TO_TARGET, Faults.trickling(5_000));
        start = System.nanoTime();
        near.getOutputStream().write(bytes(1_000));
        far.getInputStream().readNBytes(1_000);
        assertTrue(System.nanoTime() - start >= 150_000_000L, "a thousand bytes at five thousand a second");
    }

    @Test
    void linkThatBreaksAfterSomeBytesForwardsJustThose() throws Exception {
        set(Direction.TO_TARGET, Faults.breakingAfter(300_000));
        CompletableFuture<Integer> read = CompletableFuture.supplyAsync(() -> {
            int count = 0;
            try {
                while (far.getInputStream().read() >= 0) {
                    count++;
                }
            } catch (IOException e) {
                // The reset that is expected; what had come was counted.
            }
            return count;
        });
        assertThrows(IOException.class, () -> {
            for (int i = 0; i < 100; i++) {
                near.getOutputStream().write(bytes(MEGABYTE));
            }
        });
        // A reset may take what was not read yet with it, but nothing beyond can have come.
        assertTrue(read.get(20, TimeUnit.SECONDS) <= 300_000);
    }

    @Test
    void secondFaultOnALinkReplacesTheFirst() throws Exception {
        set(Direction.FROM_TARGET, Faults.BLOCKED);
        far.getOutputStream().write(1);
        set(Direction.FROM_TARGET, Faults.delayed(1_000, 0));
        assertEquals(1, near.getInputStream().read());
        link.reset();
        assertThrows(IOException.class, () -> {
            while (near.getInputStream().read() < 0) {
                near.getOutputStream().write(1);
            }
        });
    }
}
