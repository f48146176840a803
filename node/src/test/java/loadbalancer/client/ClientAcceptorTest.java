package loadbalancer.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import loadbalancer.common.ConnectionEvent;
import loadbalancer.common.EventCounters;
import loadbalancer.common.SocketBudget;
import loadbalancer.eventloop.MeasuredEventLoop;
import loadbalancer.net.AdmittingServerChannel;
import loadbalancer.net.AdmittingServerChannel.Acceptor;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** When connections are accepted, on real sockets: with little room, and where the system fails to accept. */
class ClientAcceptorTest {
    /** The shortest time that clients of the platform wait, and what they may wait longer before they are lost. */
    private static final long MAX_WAIT_MS = 140 + 500;

    private static final int BACKLOG = 512;
    private static final int MANY_DESCRIPTORS = 2_048;

    private final MeasuredEventLoop loop = new MeasuredEventLoop("test", true);
    private final EventCounters<ConnectionEvent> counters = new EventCounters<>(ConnectionEvent.values());
    private final LinkedBlockingQueue<Channel> accepted = new LinkedBlockingQueue<>();
    private final AtomicInteger evictionsAsked = new AtomicInteger();
    private final List<Socket> clients = new ArrayList<>();
    private ServerSocketChannel socket;
    private ClientAcceptor acceptor;

    private void listen(int descriptors, Acceptor accept) throws Exception {
        SocketBudget sockets =
                new SocketBudget(descriptors, 0, () -> loop.lagMeter().turnNumber());
        acceptor = new ClientAcceptor(
                loop,
                sockets,
                new ConnectionLog(counters),
                accepted::size,
                count -> {
                    evictionsAsked.addAndGet(count);
                    return 0;
                },
                () -> 0,
                BACKLOG);
        sockets.setCloseListener(acceptor::onRoomPossible);
        new ServerBootstrap()
                .group(loop)
                .channelFactory(() -> {
                    AdmittingServerChannel channel = new AdmittingServerChannel(socket, acceptor, accept);
                    acceptor.setListener(channel);
                    return channel;
                })
                .childHandler(new ChannelInboundHandlerAdapter() {
                    @Override
                    public void channelActive(ChannelHandlerContext context) {
                        accepted.add(context.channel());
                    }

                    @Override
                    public void channelRead(ChannelHandlerContext context, Object message) {
                        ReferenceCountUtil.release(message);
                    }

                    @Override
                    public boolean isSharable() {
                        return true;
                    }
                })
                .register()
                .sync();
    }

    private void openSocket() throws IOException {
        socket = ServerSocketChannel.open();
        socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
    }

    private void connect(int count) throws IOException {
        InetSocketAddress address = (InetSocketAddress) socket.getLocalAddress();
        for (int i = 0; i < count; i++) {
            clients.add(new Socket(address.getAddress(), address.getPort()));
        }
    }

    private Channel awaitAccepted() throws InterruptedException {
        Channel channel = accepted.poll(20, TimeUnit.SECONDS);
        assertTrue(channel != null, "not accepted within 20 s");
        return channel;
    }

    @AfterEach
    void close() throws IOException {
        for (Socket client : clients) {
            client.close();
        }
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        socket.close();
    }

    /** Guards against a second without any accept after each failure of the system to accept a connection. */
    @Test
    void connectionsAreAcceptedInTimeWhereEveryTwentiethAcceptFails() throws Exception {
        openSocket();
        AtomicInteger calls = new AtomicInteger();
        listen(MANY_DESCRIPTORS, () -> {
            if (calls.incrementAndGet() % 20 == 0) {
                throw new IOException("Too many open files in system");
            }
            return socket.accept();
        });
        for (int i = 0; i < 200; i++) {
            long startNanos = System.nanoTime();
            connect(1);
            awaitAccepted();
            long waitedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            assertTrue(waitedMs < MAX_WAIT_MS, "connection " + i + " waited for " + waitedMs + " ms");
        }
        assertTrue(counters.count(ConnectionEvent.ACCEPT_FAILED) >= 10);
        assertEquals(0, evictionsAsked.get(), "single failures close no idle connection");
    }

    /** Guards against giving up, or spinning, where the system has no descriptors for some time. */
    @Test
    void connectionsWaitWhileTheSystemCannotAcceptThem() throws Exception {
        openSocket();
        long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(300);
        listen(MANY_DESCRIPTORS, () -> {
            if (System.nanoTime() < untilNanos) {
                throw new IOException("Too many open files");
            }
            return socket.accept();
        });
        connect(20);
        for (int i = 0; i < 20; i++) {
            Channel channel = awaitAccepted();
            assertTrue(ClientAcceptor.openedAtNanos(channel) < untilNanos, "the time of its wait counts");
        }
        long failures = counters.count(ConnectionEvent.ACCEPT_FAILED);
        assertTrue(failures >= 2 && failures < 200, failures + " failures");
        assertTrue(evictionsAsked.get() > 0, "idle connections are closed where no descriptor is left");
    }

    /** Guards against accepting first and asking for room afterwards. */
    @Test
    void connectionsThatFindNoRoomWaitAndAreAcceptedOnceOthersClose() throws Exception {
        openSocket();
        listen(68, socket::accept);
        connect(60);
        List<Channel> open = new ArrayList<>();
        for (int i = 0; i < 11; i++) {
            open.add(awaitAccepted());
        }
        assertTrue(accepted.poll(100, TimeUnit.MILLISECONDS) == null, "no more than the share of clients");
        for (int i = 11; i < 60; i++) {
            open.remove(0).close().sync();
            Channel next = awaitAccepted();
            assertTrue(ClientAcceptor.openedAtNanos(next) <= System.nanoTime());
            open.add(next);
            assertTrue(accepted.isEmpty(), "one for one");
        }
        assertTrue(counters.count(ConnectionEvent.ACCEPT_PAUSED) > 0);
    }

    /** Guards against resetting what the system has accepted when the node stops to listen. */
    @Test
    void listenerClosesOnlyOnceAllThatWaitAreAccepted() throws Exception {
        openSocket();
        listen(68, socket::accept);
        connect(30);
        List<Channel> open = new ArrayList<>();
        for (int i = 0; i < 11; i++) {
            open.add(awaitAccepted());
        }
        AtomicInteger listenersClosed = new AtomicInteger();
        loop.submit(() -> acceptor.closeListener(listenersClosed::incrementAndGet))
                .sync();
        for (int i = 11; i < 30; i++) {
            assertEquals(0, listenersClosed.get());
            open.remove(0).close().sync();
            open.add(awaitAccepted());
        }
        open.remove(0).close().sync();
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (listenersClosed.get() == 0) {
            assertTrue(System.nanoTime() < end, "the listening socket is still open");
            Thread.sleep(1);
        }
    }

    /**
     * Guards against taking a new connection for one that has waited: the queue may have become empty without an event,
     * when the last connection that waited has taken the last room.
     */
    @Test
    void connectionThatComesLongAfterTheQueueWasEmptyHasNotWaited() throws Exception {
        openSocket();
        listen(68, socket::accept);
        connect(11);
        List<Channel> open = new ArrayList<>();
        for (int i = 0; i < 11; i++) {
            open.add(awaitAccepted());
        }
        // Accepting pauses, as there is no room, and goes on once there is.
        connect(1);
        open.remove(0).close().sync();
        awaitAccepted();
        open.remove(0).close().sync();
        Thread.sleep(300);
        long connectedAtNanos = System.nanoTime();
        connect(1);
        long openedAtNanos = ClientAcceptor.openedAtNanos(awaitAccepted());
        long earlyMs = TimeUnit.NANOSECONDS.toMillis(connectedAtNanos - openedAtNanos);
        assertTrue(earlyMs < 200, "taken for " + earlyMs + " ms older than it is");
    }
}
