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
    private Socket clientSocket;
    private Socket targetSocket;

    @BeforeEach
    void connect() throws IOException {
        target = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        link = new FaultLink(
                loop, "127.0.0.78", (InetSocketAddress) target.getLocalSocketAddress(), new SplittableRandom(1));
        clientSocket = new Socket(link.address().getAddress(), link.address().getPort());
        targetSocket = target.accept();
        clientSocket.setSoTimeout(20_000);
        targetSocket.setSoTimeout(20_000);
    }

    @AfterEach
    void close() throws IOException {
        clientSocket.close();
        targetSocket.close();
        link.close();
        target.close();
        loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Sets faults and waits until the loop has applied them. */
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
        CompletableFuture<byte[]> read = CompletableFuture.supplyAsync(() -> readAll(targetSocket));
        clientSocket.getOutputStream().write(sent);
        clientSocket.close();
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
        clientSocket.getOutputStream().write(7);
        targetSocket.getOutputStream().write(8);
        assertEquals(8, clientSocket.getInputStream().read());
        targetSocket.setSoTimeout(100);
        assertThrows(
                SocketTimeoutException.class,
                () -> targetSocket.getInputStream().read());
        set(Direction.TO_TARGET, Faults.NONE);
        targetSocket.setSoTimeout(20_000);
        assertEquals(7, targetSocket.getInputStream().read());
    }

    @Test
    void delayAndRateLimitTakeTimeAndKeepOrder() throws Exception {
        set(Direction.TO_TARGET, Faults.delayed(50_000, 20_000));
        long start = System.nanoTime();
        byte[] sent = bytes(200);
        for (byte b : sent) {
            clientSocket.getOutputStream().write(b);
        }
        assertArrayEquals(sent, targetSocket.getInputStream().readNBytes(200));
        assertTrue(System.nanoTime() - start >= 50_000_000L);
        set(Direction.TO_TARGET, Faults.rateLimited(5_000));
        start = System.nanoTime();
        clientSocket.getOutputStream().write(bytes(1_000));
        targetSocket.getInputStream().readNBytes(1_000);
        assertTrue(System.nanoTime() - start >= 150_000_000L, "a thousand bytes at five thousand a second");
    }

    @Test
    void linkThatBreaksAfterSomeBytesForwardsJustThose() throws Exception {
        set(Direction.TO_TARGET, Faults.resettingAfter(300_000));
        CompletableFuture<Integer> read = CompletableFuture.supplyAsync(() -> {
            int count = 0;
            try {
                while (targetSocket.getInputStream().read() >= 0) {
                    count++;
                }
            } catch (IOException e) {
                // The expected reset; bytes read before it are counted.
            }
            return count;
        });
        assertThrows(IOException.class, () -> {
            for (int i = 0; i < 100; i++) {
                clientSocket.getOutputStream().write(bytes(MEGABYTE));
            }
        });
        // A reset may discard bytes that were not read yet, but no byte beyond the limit can arrive.
        assertTrue(read.get(20, TimeUnit.SECONDS) <= 300_000);
    }

    @Test
    void secondFaultOnALinkReplacesTheFirst() throws Exception {
        set(Direction.FROM_TARGET, Faults.BLOCKED);
        targetSocket.getOutputStream().write(1);
        set(Direction.FROM_TARGET, Faults.delayed(1_000, 0));
        assertEquals(1, clientSocket.getInputStream().read());
        link.reset();
        assertThrows(IOException.class, () -> {
            while (clientSocket.getInputStream().read() < 0) {
                clientSocket.getOutputStream().write(1);
            }
        });
    }
}
