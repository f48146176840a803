package kitemux.node;

import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Function;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;

import kitemux.Balancer;
import kitemux.Balancer.ListKind;
import kitemux.Balancer.Outcome;
import kitemux.Balancer.Request;
import kitemux.Balancer.Result;
import kitemux.ServiceQBalancer;
import kitemux.node.Counters.Ending;

/**
 * A real node: it carries what happens on the sockets to the decision module and what the module asks for
 * to the sockets. It decides nothing. All of it runs on one event loop.
 */
public final class Node implements Balancer.Actions {
    /** Buffers of just the size needed, on the heap: memory is short, and loads are small. */
    static final ByteBufAllocator ALLOCATOR = new UnpooledByteBufAllocator(false, true);
    /** The largest body that is passed on. */
    static final int MOST_BODY = 32 << 20;

    private static final byte[] NO_BODY = {};
    private static final long PROBE_US = 1_000_000;
    private static final long HOUSEKEEPING_MS = 250;
    /** A file that cannot be taken is looked at again for so long, this often: figures may be 0.5 s late. */
    private static final long SETTLES_MS = 200;
    private static final long LOOK_MS = 20;
    /** By then any other process of this node has looked for cordons, also if it was held up for a while. */
    static final long HEEDED_MS = 2 * HOUSEKEEPING_MS;
    /** A server that neither takes nor gives anything for so long, amid something that flows, is gone. */
    private static final long MOST_SILENCE_US = 10_000_000;

    /** At a planned end the process is killed after the longest deadline, counted so at most, and a while. */
    private static final long MOST_DEADLINE_US = 3_000_000;
    private static final long KILL_US = 700_000;
    /** So long before that all that is held has its answer. */
    private static final long ROOM_US = 200_000;
    /** A request that comes to a node that ends should have so long until then, as most need less. */
    private static final long LAST_ASKED_US = 800_000;

    private final NodeConfig config;
    private Tuning tuning;
    private final EventLoop loop;
    private final Clock clock = new Clock();
    private final Counters counters = new Counters();
    private final Cordons cordons;
    private final ControlServer control;
    private boolean watching;
    private boolean serves;
    private long endsAtUs = Long.MAX_VALUE;
    private final ServerPool pool;
    private final ClientServer clients;
    private final Discovery discovery;
    private final Balancer balancer;

    private final Map<Long, Held> held = new HashMap<>();
    /** How many of these have come whole and not had the end of their final answer. */
    private int open;
    /** Attempts of which something flows that is too large to be gathered. */
    private final Set<Attempt> flowing = new HashSet<>();
    private long lastId;
    /** What the module is still to be told: nothing is fed back into it from inside one of its events. */
    private final ArrayDeque<Event> events = new ArrayDeque<>();
    private boolean telling;
    private Future<?> housekeeping;
    private Future<?> wake;
    private long wakeAtUs;

    /** Something to tell the module, and the request that it is about, or null. */
    private record Event(Held about, Runnable call) { }

    /** A client's request from its coming until its last attempt has ended. */
    static final class Held {
        private final long id;
        private final ClientRequest request;
        private final ClientServer.Client client;
        private final int maxAttempts;
        /** By when it wants its answer; not known until all of it has come. */
        private long deadlineUs = Long.MAX_VALUE;
        private final List<Attempt> attempts = new ArrayList<>(1);
        private int outstanding;
        /** The attempt whose message is on a connection, and the one whose answer flows to the client. */
        private Attempt carried;
        private Attempt answering;
        private boolean whole;
        private boolean ended;

        Held(long id, ClientRequest request, ClientServer.Client client, int maxAttempts) {
            this.id = id;
            this.request = request;
            this.client = client;
            this.maxAttempts = maxAttempts;
        }
    }

    Node(NodeConfig config, EventLoop loop) {
        this(config, loop, actions -> new ServiceQBalancer(config.settings(), config.seed(), actions));
    }

    Node(NodeConfig config, EventLoop loop, Function<Balancer.Actions, Balancer> module) {
        this.config = config;
        this.loop = loop;
        boolean operated = config.operators().control() != null;
        cordons = new Cordons(operated ? config.operators().folder() : null);
        control = operated ? new ControlServer(loop, new Operated()) : null;
        counters.report(config.settings().classes);
        Sockets sockets = new Sockets(config.sockets(), operated ? ControlServer.SOCKETS : 0);
        pool = new ServerPool(loop, sockets, clock, config.settings().connectTimeoutUs, config.connIdleUs());
        tuning = Tuning.first(config.settings());
        clients = new ClientServer(loop, new RequestReader(tuning), sockets,
                new ClientServer.Handler() {
                    @Override
                    public void asked(ClientServer.Client client, ClientRequest request) {
                        take(client, request);
                    }

                    @Override
                    public void left(Held gone) {
                        tell(gone, () -> {
                            end(gone);
                            balancer.onClientGone(clock.nowUs(), gone.id);
                            forgetIfOver(gone);
                        });
                    }
                });
        discovery = new Discovery(loop, config, Discovery.Patience.USUAL, new Discovery.Listener() {
            @Override
            public void listed(HostList list) {
                list(list, list.all() ? ListKind.FULL : ListKind.CHANGES);
            }

            @Override
            public void failed(String reason) {
                Log.line("discovery: " + reason);
                tell(null, () -> balancer.onListFailed(clock.nowUs()));
            }
        });
        balancer = module.apply(this);
    }

    // ---------------------------------------------------------------- start and end

    /** Runs a node until SIGTERM; a bad configuration ends it with one line and exit code 2. */
    public static void run(Map<String, String> env) {
        NodeConfig config;
        ServerSocketChannel inherited;
        try {
            config = NodeConfig.read(env);
            inherited = config.operators().inherits() ? InheritedSocket.open() : null;
        } catch (ConfigException e) {
            System.err.println("kitemux: " + e.getMessage());
            System.exit(2);
            return;
        }
        EventLoop loop = newLoop();
        Node node = new Node(config, loop);
        HangUp.handle(() -> node.reload(env));
        ChannelFuture control = node.startControl();
        if (control != null) {
            awaitListening("control " + config.operators().control(), control);
            Log.line("operators at " + control.channel().localAddress());
        }
        // Ahead of the rehearsal, which takes longer than discovery to answer.
        node.watch();
        long rehearsed = Rehearsal.play(config, loop);
        if (rehearsed < Rehearsal.REQUESTS) {
            Log.line("rehearsal cut short after " + rehearsed + " of " + Rehearsal.REQUESTS + " requests");
        }
        ChannelFuture listening = node.start(inherited);
        awaitListening("listen " + config.listen(), listening);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            CountDownLatch empty = new CountDownLatch(1);
            node.drain(empty::countDown);
            try {
                empty.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, "drain"));
        Log.line("listening on " + listening.channel().localAddress());
    }

    private static void awaitListening(String where, ChannelFuture listening) {
        if (!listening.awaitUninterruptibly().isSuccess()) {
            System.err.println("kitemux: " + where + ": " + listening.cause().getMessage());
            System.exit(2);
        }
    }

    static EventLoop newLoop() {
        return (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    }

    /** Opens the address for operators, which says no until clients can connect; null without one. */
    ChannelFuture startControl() {
        return control == null ? null : control.listen(config.operators().control());
    }

    /**
     * Begins to follow the list, ahead of clients: the one that a node starts with may be old, and the first
     * requests would go to servers that drain or are gone.
     */
    void watch() {
        loop.execute(() -> {
            if (watching) {
                return;
            }
            watching = true;
            heedCordons();
            list(config.known(), ListKind.CACHED);
            if (config.discovery() != null && !config.settings().listOnRequest) {
                discovery.keepSubscribed();
            }
        });
    }

    /** Begins to serve; the future is done once clients can connect. */
    ChannelFuture start() {
        return start(null);
    }

    ChannelFuture start(ServerSocketChannel inherited) {
        watch();
        housekeeping = loop.scheduleAtFixedRate(() -> {
            pool.closeOld();
            clients.closeOld();
            long nowUs = clock.nowUs();
            List.copyOf(flowing).stream().filter(a -> a.isStalled(nowUs)).forEach(Attempt::expire);
            heedCordons();
        }, HOUSEKEEPING_MS, HOUSEKEEPING_MS, TimeUnit.MILLISECONDS);
        return clients.listen(config.listen(), inherited)
                .addListener(listening -> serves = listening.isSuccess());
    }

    /** Follows what another process of this node was told. */
    private void heedCordons() {
        if (cordons.refresh()) {
            cordon();
        }
    }

    private void cordon() {
        tell(null, () -> {
            pool.cordon(cordons.out());
            balancer.onCordoned(clock.nowUs(), cordons.out());
        });
    }

    /** What operators call for. */
    private final class Operated implements ControlServer.Node {
        @Override
        public boolean serves() {
            return serves;
        }

        @Override
        public String figures() {
            return counters.text(new Counters.Gauges(open, pool.listed(), balancer.skipped()));
        }

        @Override
        public long cordon(String serverId, boolean out) throws ControlServer.RefusedException {
            cordons.change(serverId, out);
            Log.line((out ? "cordoned server " : "uncordoned server ") + serverId);
            Node.this.cordon();
            // The yes binds every process of the node, and another one learns of it by looking.
            return out && cordons.areShared() ? HEEDED_MS : 0;
        }
    }

    /**
     * Takes the file as it now is, where it can all be taken, or leaves everything as it was. One at a time:
     * of two signals in quick succession the later one reads later, and must be heeded last.
     */
    synchronized void reload(Map<String, String> env) {
        try {
            NodeConfig read = readSettled(env);
            loop.execute(() -> retune(read));
        } catch (ConfigException e) {
            Log.line("kitemux: reload: " + e.getMessage());
            loop.execute(counters::loadFailed);
        }
    }

    /** The file once it can be taken: the signal may have come ahead of its end. */
    private NodeConfig readSettled(Map<String, String> env) throws ConfigException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SETTLES_MS);
        while (true) {
            try {
                return config.again(env);
            } catch (ConfigException e) {
                if (System.nanoTime() > until) {
                    throw e;
                }
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(LOOK_MS));
        }
    }

    private void retune(NodeConfig read) {
        Log.line("configuration taken, discovery is at " + read.discovery());
        counters.loaded();
        counters.report(read.settings().classes);
        Tuning next = tuning.then(read.settings());
        tuning = next;
        tell(null, () -> balancer.onSettings(clock.nowUs(), next.settings()));
        clients.readBy(new RequestReader(next));
        pool.tune(next.settings().connectTimeoutUs, read.connIdleUs());
        discovery.moveTo(read.discovery());
        loop.schedule(() -> {
            // Unless another file has been taken since.
            if (tuning == next) {
                tuning = next.settled();
                clients.readBy(new RequestReader(tuning));
            }
        }, next.settlesAfterUs(), TimeUnit.MICROSECONDS);
    }

    /** Says no to the front, serves what still comes, and calls back once nothing is held. */
    void drain(Runnable whenEmpty) {
        loop.execute(() -> {
            serves = false;
            Log.line("draining, " + open + " requests open");
            if (!config.operators().inherits()) {
                clients.drain(whenEmpty);
                return;
            }
            long longest = tuning.known().stream()
                    .mapToLong(Balancer.RequestClass::deadlineUs).max().orElse(0);
            long leftUs = Math.min(MOST_DEADLINE_US, longest) + KILL_US - ROOM_US;
            endsAtUs = clock.nowUs() + leftUs;
            clients.handOver(Math.max(0, leftUs - LAST_ASKED_US) / 1_000, whenEmpty);
        });
    }

    /** Lets go of all sockets and timers at once. */
    void close() {
        loop.execute(() -> {
            housekeeping.cancel(false);
            if (wake != null) {
                wake.cancel(false);
            }
            clients.close();
            if (control != null) {
                control.close();
            }
            pool.close();
            discovery.close();
        });
    }

    // ---------------------------------------------------------------- events for the module

    private void tell(Held about, Runnable call) {
        events.add(new Event(about, call));
        if (telling) {
            return;
        }
        telling = true;
        try {
            Event event;
            while ((event = events.poll()) != null) {
                tellOne(event);
            }
        } finally {
            telling = false;
        }
    }

    private void tellOne(Event event) {
        try {
            event.call.run();
        } catch (RuntimeException e) {
            // A defect met by one request must neither end the node nor leave it without an answer.
            Log.error("event", e);
            if (event.about != null && !event.about.ended) {
                answer(event.about, HttpResponseStatus.INTERNAL_SERVER_ERROR, NO_BODY, 0);
                events.add(new Event(null, () -> balancer.onClientGone(clock.nowUs(), event.about.id)));
            }
        }
    }

    private void list(HostList list, ListKind kind) {
        tell(null, () -> {
            // The pool first, as the module sends to new servers at once. What it frees from a draining
            // server is told after the list: the module would else send it there again.
            pool.update(list);
            cordons.listed(list);
            balancer.onServers(clock.nowUs(), kind, list.hosts().stream().map(HostList.Host::entry).toList());
        });
    }

    private void take(ClientServer.Client client, ClientRequest request) {
        Held taken = new Held(++lastId, request, client, tuning.settings().maxAttempts);
        client.held = taken;
        held.put(taken.id, taken);
        if (request.upload() == null) {
            cameWhole(taken);
        } else {
            request.upload().follow(new Upload.Listener() {
                @Override
                public void bound() {
                    int attempt = taken.carried.number;
                    tell(taken, () -> balancer.onFirstByte(clock.nowUs(), taken.id, attempt));
                }

                @Override
                public void whole() {
                    cameWhole(taken);
                }
            });
        }
        ClientRequest.Head head = request.head();
        long wantedUs = Math.min(endsAtUs, clock.nowUs() + head.leftUs());
        tell(taken, () -> balancer.onRequest(clock.nowUs(), new Request(taken.id, head.classIndex(),
                head.tenant(), Math.max(0, wantedUs - clock.nowUs()), head.workUs(), head.retry(),
                head.key())));
    }

    /** All of a request has come: its time runs. */
    private void cameWhole(Held request) {
        if (request.ended) {
            return;
        }
        request.whole = true;
        open++;
        request.deadlineUs = Math.min(endsAtUs, clock.nowUs() + request.request.head().leftUs());
        request.attempts.stream().filter(attempt -> !attempt.over).forEach(Attempt::cameWhole);
    }

    // ---------------------------------------------------------------- attempts

    private final class Attempt implements ServerPool.Exchange, Flow {
        private final Held of;
        private final int number;
        private final String serverId;
        private final long sentAtUs = clock.nowUs();
        private final long untilUs;
        /** From when the server could work on it, and when it began to answer; 0 until then. */
        private long wholeAtUs = sentAtUs;
        private long begunAtUs;
        /** When last something of it went on. */
        private long movedAtUs = sentAtUs;
        private long passed;
        private Flow answer;
        private boolean heldBack;
        private Future<?> expiry;
        private double[] report;
        private boolean over;

        Attempt(Held of, int number, String serverId, long untilUs) {
            this.of = of;
            this.number = number;
            this.serverId = serverId;
            this.untilUs = untilUs;
        }

        private long endsUs() {
            return Math.min(untilUs, of.deadlineUs);
        }

        @Override
        public FullHttpRequest message() {
            of.carried = this;
            ClientRequest.Head head = of.request.head();
            byte[] body = of.request.body();
            FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, head.method(),
                    head.uri(), Unpooled.wrappedBuffer(body));
            long leftUs = of.whole ? endsUs() - clock.nowUs() : head.leftUs();
            message.headers().set(HttpHeaderNames.HOST, "backend.local")
                    .set("X-Txn", head.txn())
                    .set("X-Lane", className(of))
                    .set("X-Remaining", Math.max(1, leftUs) + "u");
            if (head.idempotencyKey() != null) {
                message.headers().set("Idempotency-Key", head.idempotencyKey());
            }
            if (upload() != null && upload().length() < 0) {
                HttpUtil.setTransferEncodingChunked(message, true);
            } else if (upload() != null) {
                message.headers().set(HttpHeaderNames.CONTENT_LENGTH, upload().length());
            } else if (body.length > 0 || !head.method().equals(HttpMethod.GET)) {
                message.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
            }
            return message;
        }

        @Override
        public Upload upload() {
            return of.request.upload();
        }

        @Override
        public void written() {
            counters.tried();
        }

        void begin() {
            of.outstanding++;
            if (endsUs() <= sentAtUs || number >= of.maxAttempts || of.ended
                    || upload() != null && !upload().isFree()) {
                ended(Result.MOOT, NO_BODY);
                return;
            }
            if (of.whole) {
                awaitEnd();
            }
            if (upload() != null) {
                flowing.add(this);
            }
            pool.start(serverId, this);
        }

        private void cameWhole() {
            wholeAtUs = clock.nowUs();
            awaitEnd();
        }

        private void awaitEnd() {
            expiry = loop.schedule(this::expire, endsUs() - clock.nowUs(), TimeUnit.MICROSECONDS);
        }

        /** Whether the server has neither taken nor given anything for too long. */
        private boolean isStalled(long nowUs) {
            boolean onServer = answer == null ? upload().awaitsServer() && upload().passed() == passed
                    : !heldBack;
            passed = answer == null ? upload().passed() : 0;
            movedAtUs = onServer ? movedAtUs : nowUs;
            return nowUs - movedAtUs > MOST_SILENCE_US;
        }

        @Override
        public void begun(long length, Flow from) {
            answer = from;
            begunAtUs = clock.nowUs();
            flowing.add(this);
            if (expiry != null) {
                expiry.cancel(false);
            }
            if (!of.ended && of.answering == null) {
                of.answering = this;
                of.client.beginAnswer(length, this);
                tell(of, () -> balancer.onFirstByte(clock.nowUs(), of.id, number));
            }
        }

        @Override
        public void part(ByteBuf part) {
            movedAtUs = clock.nowUs();
            if (of.answering == this && !of.ended) {
                of.client.continueAnswer(part);
            } else {
                part.release();
            }
        }

        @Override
        public void partsRead() {
            if (of.answering == this && !of.ended) {
                of.client.flushAnswer();
            }
        }

        @Override
        public void holdBack() {
            heldBack = true;
            answer.holdBack();
        }

        @Override
        public void goOn() {
            heldBack = false;
            movedAtUs = clock.nowUs();
            answer.goOn();
        }

        private void expire() {
            // What never left for want of a connection is known not to have run.
            ended(pool.giveUp(serverId, this) ? Result.TIMEOUT : Result.CONNECT_FAILED, NO_BODY);
        }

        void cancel() {
            if (!over) {
                pool.giveUp(serverId, this);
                ended(Result.CANCELLED, NO_BODY);
            }
        }

        @Override
        public void reported(String load) {
            report = LoadReport.decode(load, config.settings().reportFields);
        }

        @Override
        public void ended(Result result, byte[] body) {
            if (over) {
                return;
            }
            over = true;
            flowing.remove(this);
            if (expiry != null) {
                expiry.cancel(false);
            }
            if (of.answering == this && !of.ended) {
                endAnswer(result);
            } else if (result == Result.OK && !of.ended && of.answering == null) {
                answer(of, HttpResponseStatus.OK, body, 0);
            }
            // Of what flowed it counts how long the server took, not how long the two ends did.
            long answeredAtUs = begunAtUs == 0 ? clock.nowUs() : begunAtUs;
            tell(of, () -> {
                of.outstanding--;
                forgetIfOver(of);
                balancer.onOutcome(clock.nowUs(), new Outcome(of.id, number, result,
                        Math.max(0, answeredAtUs - wholeAtUs), of.ended, report));
            });
        }

        /** The answer that flowed to the client has come to its end, or will not. */
        private void endAnswer(Result result) {
            if (result == Result.OK) {
                of.client.endAnswer();
            } else {
                of.client.breakOffAnswer();
            }
            counters.handled(className(of), result == Result.OK ? Ending.PASSED : Ending.BAD_GATEWAY);
            end(of);
        }
    }

    private void forgetIfOver(Held request) {
        if (request.ended && request.outstanding == 0) {
            held.remove(request.id);
            if (request.request.upload() != null) {
                request.request.upload().release();
            }
        }
    }

    /** The one final answer; nothing is sent for the request after it. */
    private void answer(Held request, HttpResponseStatus status, byte[] body, long retryAfterUs) {
        if (request.ended) {
            return;
        }
        end(request);
        counters.handled(className(request), switch (status.code()) {
            case 200 -> Ending.PASSED;
            case 503 -> Ending.DROPPED;
            default -> Ending.BAD_GATEWAY;
        });
        request.client.answer(status, body, retryAfterUs);
        forgetIfOver(request);
    }

    private String className(Held request) {
        return tuning.known().get(request.request.head().classIndex()).name();
    }

    private void end(Held request) {
        open -= request.whole && !request.ended ? 1 : 0;
        request.ended = true;
        if (!request.whole && request.carried != null) {
            // The rest of what the server was to get will not come.
            request.carried.cancel();
        }
    }

    // ---------------------------------------------------------------- what the module asks for

    @Override
    public void send(long requestId, String serverId, long untilUs) {
        Held request = held.get(requestId);
        // Where the body flows, the module does not know yet by when the client wants its answer.
        long until = untilUs == 0 || request.request.upload() != null ? Long.MAX_VALUE : untilUs;
        Attempt attempt = new Attempt(request, request.attempts.size(), serverId, until);
        request.attempts.add(attempt);
        attempt.begin();
    }

    @Override
    public void cancel(long requestId, int attempt) {
        Held request = held.get(requestId);
        if (request != null) {
            request.attempts.get(attempt).cancel();
        }
    }

    @Override
    public void refuse(long requestId, long retryAfterUs) {
        finish(requestId, HttpResponseStatus.SERVICE_UNAVAILABLE, retryAfterUs);
    }

    @Override
    public void fail(long requestId) {
        finish(requestId, HttpResponseStatus.BAD_GATEWAY, 0);
    }

    private void finish(long requestId, HttpResponseStatus status, long retryAfterUs) {
        Held request = held.get(requestId);
        if (request != null) {
            answer(request, status, NO_BODY, retryAfterUs);
        }
    }

    /** The module keeps one wake-up pending at most: an earlier one takes the place of a later. */
    @Override
    public void wakeAt(long atUs) {
        if (wake != null) {
            wake.cancel(false);
        }
        wakeAtUs = atUs;
        scheduleWake();
    }

    private void scheduleWake() {
        wake = loop.schedule(() -> {
            long now = clock.nowUs();
            if (now < wakeAtUs) {
                scheduleWake();
                return;
            }
            wake = null;
            tell(null, () -> balancer.onWake(clock.nowUs()));
        }, Math.max(0, wakeAtUs - clock.nowUs()), TimeUnit.MICROSECONDS);
    }

    @Override
    public void probe(String serverId) {
        new Probe(serverId).begin();
    }

    /** A check of one server. */
    private final class Probe implements ServerPool.Exchange {
        private final String serverId;
        private final long sentAtUs = clock.nowUs();
        private Future<?> expiry;
        private double[] report;

        Probe(String serverId) {
            this.serverId = serverId;
        }

        void begin() {
            expiry = loop.schedule(() -> {
                pool.giveUp(serverId, this);
                ended(Result.TIMEOUT, NO_BODY);
            }, PROBE_US, TimeUnit.MICROSECONDS);
            pool.start(serverId, this);
        }

        @Override
        public FullHttpRequest message() {
            FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
                    "/alive", Unpooled.EMPTY_BUFFER);
            message.headers().set(HttpHeaderNames.HOST, "backend.local");
            return message;
        }

        @Override
        public Upload upload() {
            return null;
        }

        @Override
        public void written() {
            // No client's request: it counts for nothing.
        }

        @Override
        public void begun(long length, Flow from) {
            // That it answers is all that is asked.
        }

        @Override
        public void part(ByteBuf part) {
            part.release();
        }

        @Override
        public void partsRead() {
            // Nobody to pass them to.
        }

        @Override
        public void reported(String load) {
            report = LoadReport.decode(load, config.settings().reportFields);
        }

        @Override
        public void ended(Result result, byte[] body) {
            expiry.cancel(false);
            tell(null, () -> balancer.onProbe(clock.nowUs(), serverId, result,
                    clock.nowUs() - sentAtUs, report));
        }
    }

    @Override
    public void closeIdle(String serverId) {
        pool.closeIdle(serverId);
    }

    @Override
    public void subscribe() {
        discovery.subscribe();
    }

    @Override
    public void log(String line) {
        Log.line(line);
    }
}
