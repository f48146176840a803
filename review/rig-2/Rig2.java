import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * What the cases of the second review share: a record, stand-ins for app servers and discovery, and the node as a
 * process started by the deploy file's {@code run}. All addresses are on loopback, all ports are free ones.
 */
final class Rig2 implements AutoCloseable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    /** False for the control run, in which the case does the same without the disruption. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private static final long START = System.nanoTime();
    private static final long MAX_MS = 110_000;

    private final Path caseFolder;
    private final Path temporary;
    private final PrintWriter record;
    /** The processes that the case has started. */
    final List<ProcessHandle> processes = new CopyOnWriteArrayList<>();

    private final List<AutoCloseable> open = new CopyOnWriteArrayList<>();

    Rig2(String caseFolder) throws IOException {
        this.caseFolder = Path.of(caseFolder);
        temporary = Files.createTempDirectory("review-2-");
        record = new PrintWriter(Files.newBufferedWriter(this.caseFolder.resolve("record.txt")));
        log("case", "trouble=" + TROUBLE);
    }

    /** Runs a case, ends all that it started, and exits with its result. */
    interface Case {
        int run(Rig2 rig) throws Exception;
    }

    static void main(String[] args, Case body) {
        int result = COULD_NOT_RUN;
        try (Rig2 rig = new Rig2(args[0])) {
            // Nothing that the case started outlives it, however it ends.
            Runtime.getRuntime().addShutdownHook(new Thread(() -> rig.processes.forEach(ProcessHandle::destroyForcibly)));
            daemon("time limit", () -> {
                sleep(MAX_MS);
                rig.log("rig", "could not run: not done after " + MAX_MS + " ms");
                System.exit(COULD_NOT_RUN);
            });
            try {
                result = body.run(rig);
            } catch (Exception e) {
                rig.log("rig", "could not run: " + e);
                e.printStackTrace();
            }
            rig.log("case", new String[] {"HELD", "BROKEN", "COULD NOT RUN"}[result]);
            System.out.println(new String[] {"HELD", "BROKEN", "COULD NOT RUN"}[result]);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(result);
    }

    /** Milliseconds since the case began. */
    static double ms() {
        return (System.nanoTime() - START) / 1e6;
    }

    void log(String by, String what) {
        synchronized (record) {
            record.printf(Locale.ROOT, "%10.1f ms  %-12s %s%n", ms(), by, what);
            record.flush();
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static void daemon(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    static InetAddress loopback() {
        return InetAddress.getLoopbackAddress();
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, loopback())) {
            return socket.getLocalPort();
        }
    }

    @Override
    public void close() throws Exception {
        for (int i = open.size() - 1; i >= 0; i--) {
            open.get(i).close();
        }
        try (Stream<Path> paths = Files.walk(temporary)) {
            paths.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        }
        record.close();
    }

    // ---------------------------------------------------------------- messages

    /** A request or a response that has arrived whole. */
    static final class Message {
        String firstLine;
        /** When its first byte was read. */
        double firstByteMs;
        final Map<String, String> headers = new HashMap<>();
        byte[] body = new byte[0];

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    /** Reads one message with its body; null if the stream ends before its first byte. */
    static Message read(InputStream in) throws IOException {
        int first = in.read();
        if (first < 0) {
            return null;
        }
        Message message = new Message();
        message.firstByteMs = ms();
        message.firstLine = (char) first + readLine(in);
        String line;
        while (true) {
            line = readLine(in);
            if (line == null) {
                throw new EOFException("within a head");
            }
            if (line.isEmpty()) {
                break;
            }
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
        if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            int size;
            while ((size = Integer.parseInt(readLine(in).strip(), 16)) > 0) {
                body.write(readFully(in, size));
                readLine(in);
            }
            readLine(in);
            message.body = body.toByteArray();
        } else if (message.header("Content-Length") != null) {
            message.body = readFully(in, Integer.parseInt(message.header("Content-Length")));
        }
        return message;
    }

    private static byte[] readFully(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("within a body");
        }
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        int next;
        while ((next = in.read()) >= 0) {
            if (next == '\n') {
                int length = line.length();
                return length > 0 && line.charAt(length - 1) == '\r' ? line.substring(0, length - 1) : line.toString();
            }
            line.append((char) next);
        }
        if (line.length() > 0) {
            throw new EOFException("within a line");
        }
        return null;
    }

    /** A client's request as the protocol page has it. */
    static String head(String method, String key, String txn, String lane, long remainingMs, int bodyLength) {
        return method + " /api/" + key + " HTTP/1.1\r\nHost: backend.local\r\nX-Txn: " + txn + "\r\nX-Lane: " + lane
                + "\r\nX-Remaining: " + remainingMs + "m\r\n"
                + (method.equals("POST") ? "Content-Length: " + bodyLength + "\r\n" : "") + "\r\n";
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    // ---------------------------------------------------------------- app servers

    /** What an app server does with a request that has arrived whole; returns the answer's body, or null for none. */
    interface Work {
        String run(AppServer server, Message request, Socket connection) throws Exception;
    }

    /**
     * An app server: keeps connections, one request at a time on each, begins a request once its last byte has come, and
     * records all that reach it whole.
     */
    static final class AppServer implements AutoCloseable {
        final String id;
        final String zone;
        final ServerSocket listening;
        private final Rig2 rig;
        private final Work work;
        private final List<Socket> sockets = new CopyOnWriteArrayList<>();
        /** While true, nothing is read from any connection and nothing is answered. */
        volatile boolean silent;

        AppServer(Rig2 rig, String id, String zone, Work work) throws IOException {
            this(rig, id, zone, work, 128);
            takeConnections();
        }

        private AppServer(Rig2 rig, String id, String zone, Work work, int backlog) throws IOException {
            this.rig = rig;
            this.id = id;
            this.zone = zone;
            this.work = work;
            listening = new ServerSocket(0, backlog, loopback());
            rig.open.add(this);
        }

        /**
         * Returns an app server whose connections come up late: its backlog is full until {@link #takeConnections}. The
         * system tries a connection again 1 s after the first time.
         */
        static AppServer late(Rig2 rig, String id, String zone, Work work) throws IOException {
            AppServer server = new AppServer(rig, id, zone, work, 1);
            for (int i = 0; i < 2; i++) {
                server.sockets.add(new Socket(loopback(), server.listening.getLocalPort()));
            }
            return server;
        }

        void takeConnections() {
            daemon(id, this::accept);
        }

        String address() {
            return "127.0.0.1:" + listening.getLocalPort();
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = listening.accept();
                    socket.setTcpNoDelay(true);
                    sockets.add(socket);
                    daemon(id + "-connection", () -> serve(socket));
                }
            } catch (IOException e) {
                // Closed: the case has ended.
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(new SilentInput(socket.getInputStream()));
                Message request;
                while ((request = read(in)) != null) {
                    awaitSound();
                    rig.log(
                            id,
                            "begins " + request.header("X-Txn") + " " + request.firstLine + " remaining="
                                    + request.header("X-Remaining") + " body=" + request.body.length);
                    String answer = work.run(this, request, socket);
                    awaitSound();
                    if (answer != null) {
                        answer(socket, answer);
                        rig.log(id, "answered " + request.header("X-Txn"));
                    }
                }
            } catch (Exception e) {
                // The connection has ended, or broke.
            } finally {
                sockets.remove(socket);
            }
        }

        void answer(Socket socket, String body) throws IOException {
            socket.getOutputStream()
                    .write(bytes("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body));
        }

        private void awaitSound() {
            while (silent) {
                sleep(5);
            }
        }

        /** Reads nothing while the app server is silent. */
        private final class SilentInput extends InputStream {
            private final InputStream in;

            SilentInput(InputStream in) {
                this.in = in;
            }

            @Override
            public int read() throws IOException {
                awaitSound();
                return in.read();
            }

            @Override
            public int read(byte[] to, int offset, int length) throws IOException {
                awaitSound();
                return in.read(to, offset, Math.min(length, 4096));
            }
        }

        @Override
        public void close() throws IOException {
            listening.close();
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    // ---------------------------------------------------------------- discovery

    /** Discovery's agent on the node's machine: the whole list, and watches with a blank line every 2 s. */
    static final class Discovery implements AutoCloseable {
        private final ServerSocket listening = new ServerSocket(0, 64, loopback());
        private final Rig2 rig;
        private final Map<String, String> entries = new HashMap<>();
        private final Map<String, Long> revisions = new HashMap<>();
        private final List<String> order = new ArrayList<>();
        private long revision = 40;

        Discovery(Rig2 rig) throws IOException {
            this.rig = rig;
            rig.open.add(this);
            daemon("discovery", this::accept);
        }

        String address() {
            return "127.0.0.1:" + listening.getLocalPort();
        }

        /** Tells the state of an app server to all watches. */
        synchronized void tell(AppServer server, String state, long bootMs) {
            revision++;
            if (!order.contains(server.id)) {
                order.add(server.id);
            }
            entries.put(
                    server.id,
                    "{\"uid\":\"" + server.id + "\",\"endpoint\":\"" + server.address() + "\",\"az\":\"" + server.zone
                            + "\",\"model\":\"full-core\",\"pod_group\":0,\"state\":\"" + state
                            + "\",\"capacity_hint\":1.0,\"boot_ms\":" + bootMs + "}");
            revisions.put(server.id, revision);
            rig.log("discovery", "rev " + revision + " " + server.id + " " + state);
            notifyAll();
        }

        /** Returns the whole list if {@code after} is negative, else what has changed after that revision. */
        synchronized String list(long after) {
            StringBuilder targets = new StringBuilder();
            for (String id : order) {
                if (revisions.get(id) > after && !(after < 0 && entries.get(id).contains("\"Gone\""))) {
                    targets.append(targets.length() == 0 ? "" : ",").append(entries.get(id));
                }
            }
            return "{\"rev\":" + revision + ",\"all\":" + (after < 0) + ",\"targets\":[" + targets + "]}";
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = listening.accept();
                    daemon("discovery-connection", () -> serve(socket));
                }
            } catch (IOException e) {
                // Closed: the case has ended.
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                Message request;
                while ((request = read(in)) != null) {
                    Matcher after = Pattern.compile("after=(\\d+)").matcher(request.firstLine);
                    if (!request.firstLine.contains("watch=1")) {
                        String list = list(-1);
                        out.write(bytes("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list));
                        continue;
                    }
                    out.write(bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
                    watch(out, after.find() ? Long.parseLong(after.group(1)) : 0);
                }
            } catch (Exception e) {
                // The node has ended the watch.
            }
        }

        private void watch(OutputStream out, long after) throws Exception {
            long told = after;
            boolean first = true;
            while (true) {
                String line;
                synchronized (this) {
                    if (!first && told == revision) {
                        wait(2_000);
                    }
                    line = first || revision > told ? list(first && after == 0 ? -1 : told) : "";
                    told = revision;
                }
                first = false;
                out.write(bytes(Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n"));
                out.flush();
            }
        }

        @Override
        public void close() throws IOException {
            listening.close();
        }
    }

    // ---------------------------------------------------------------- the node

    /** A node: a process started from the project's root by the deploy file's {@code run}. */
    final class Node implements AutoCloseable {
        final String name;
        final int port;
        final int controlPort;
        private final Process process;
        private final Path folder;

        Node(String name, String config, int port, int controlPort) throws Exception {
            this.name = name;
            this.port = port;
            this.controlPort = controlPort;
            folder = Files.createDirectories(temporary.resolve(name));
            Path shared = Files.createDirectories(folder.resolve("tmp"));
            Path file = folder.resolve("config.json");
            Files.writeString(file, config);
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand());
            builder.environment().remove("JAVA_TOOL_OPTIONS");
            builder.environment().put("PROXY_NAME", name);
            builder.environment().put("PROXY_LISTEN", "127.0.0.1:" + port);
            builder.environment().put("PROXY_CONTROL", "127.0.0.1:" + controlPort);
            builder.environment().put("PROXY_CONFIG", file.toString());
            builder.environment().put("TMPDIR", shared.toString());
            File logFile = folder.resolve("log.txt").toFile();
            builder.redirectErrorStream(true).redirectOutput(logFile);
            process = builder.start();
            processes.add(process.toHandle());
            open.add(this);
            log(name, "started, pid " + process.pid());
        }

        Path configFile() {
            return folder.resolve("config.json");
        }

        boolean isAlive() {
            return process.isAlive();
        }

        long pid() {
            return process.pid();
        }

        void awaitUp() throws Exception {
            double until = ms() + 30_000;
            while (ms() < until) {
                if (!process.isAlive()) {
                    throw new IOException("the node has ended: " + Files.readString(folder.resolve("log.txt")));
                }
                try (Socket socket = new Socket(loopback(), port)) {
                    socket.setSoTimeout(2_000);
                    socket.getOutputStream().write(bytes("GET /up HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n"));
                    if (read(new BufferedInputStream(socket.getInputStream())).status() == 200) {
                        log(name, "is up");
                        return;
                    }
                } catch (IOException e) {
                    sleep(20);
                }
            }
            throw new IOException("the node is not up after 30 s");
        }

        /** Makes a call at the control address; returns the whole answer. */
        String call(String line) throws IOException {
            try (Socket socket = new Socket(loopback(), controlPort)) {
                socket.setSoTimeout(3_000);
                socket.getOutputStream().write(bytes(line + "\n"));
                return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1).strip();
            }
        }

        void signal(String signal) throws Exception {
            log(name, "SIG" + signal);
            new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
        }

        String logText() throws IOException {
            return Files.readString(folder.resolve("log.txt"));
        }

        @Override
        public void close() throws Exception {
            process.destroyForcibly();
            process.waitFor(5, TimeUnit.SECONDS);
            for (String line : logText().split("\n")) {
                log(name + " log", line);
            }
        }
    }

    // ---------------------------------------------------------------- the platform that replaces processes

    /**
     * The platform on a day on which it replaces processes: it holds the clients' listening socket, which each process
     * of the node inherits as descriptor 0, with the same folder for temporary files. In Perl, as Java cannot hand a
     * socket on.
     */
    final class Platform implements AutoCloseable {
        private static final String PROGRAM = """
                use Socket; use POSIX (); $| = 1; $SIG{CHLD} = 'IGNORE';
                socket(my $held, PF_INET, SOCK_STREAM, 0) or die;
                bind($held, sockaddr_in(0, INADDR_LOOPBACK)) or die;
                listen($held, 128) or die;
                print((sockaddr_in(getsockname($held)))[0], "\\n");
                while (my $line = <STDIN>) {
                  chomp $line; my ($log, $control, @program) = split /\\t/, $line; my $pid = fork;
                  if (!$pid) {
                    open(STDOUT, '>', $log); open(STDERR, '>&', STDOUT); POSIX::dup2(fileno($held), 0);
                    $ENV{PROXY_CONTROL} = $control; exec @program or die;
                  }
                  print "$pid\\n";
                }
                """;

        final int port;
        private final Process perl;
        private final Path folder;
        private final List<Path> logs = new ArrayList<>();

        Platform(String config) throws Exception {
            folder = Files.createDirectories(temporary.resolve("platform"));
            Path file = folder.resolve("config.json");
            Files.writeString(file, config);
            ProcessBuilder builder = new ProcessBuilder("perl", "-e", PROGRAM);
            builder.environment().remove("JAVA_TOOL_OPTIONS");
            builder.environment().put("PROXY_CONFIG", file.toString());
            builder.environment().put("PROXY_SOCKET_FD", "0");
            builder.environment()
                    .put("TMPDIR", Files.createDirectories(folder.resolve("tmp")).toString());
            perl = builder.redirectError(ProcessBuilder.Redirect.DISCARD).start();
            processes.add(perl.toHandle());
            open.add(this);
            port = Integer.parseInt(perl.inputReader().readLine());
        }

        /** Starts a process of the node by the deploy file's run; returns it with its control address. */
        Member start(String name) throws Exception {
            int control = freePort();
            Path logFile = folder.resolve(name + ".log");
            logs.add(logFile);
            perl.outputWriter().write(logFile + "\t127.0.0.1:" + control + "\t/bin/sh\t-c\t" + runCommand() + "\n");
            perl.outputWriter().flush();
            ProcessHandle process =
                    ProcessHandle.of(Long.parseLong(perl.inputReader().readLine())).orElseThrow();
            processes.add(process);
            log(name, "started, pid " + process.pid());
            return new Member(name, process, control);
        }

        @Override
        public void close() throws Exception {
            perl.destroyForcibly();
            for (Path file : logs) {
                if (Files.exists(file)) {
                    for (String line : Files.readString(file).split("\n")) {
                        log(file.getFileName().toString(), line);
                    }
                }
            }
        }
    }

    /** A process of the node that the platform has started. */
    final class Member {
        final String name;
        final ProcessHandle process;
        private final int control;

        Member(String name, ProcessHandle process, int control) {
            this.name = name;
            this.process = process;
            this.control = control;
            open.add(process::destroyForcibly);
        }

        /** Makes a call at the control address; returns the answer. */
        String call(String line) throws IOException {
            try (Socket socket = new Socket(loopback(), control)) {
                socket.setSoTimeout(3_000);
                socket.getOutputStream().write(bytes(line + "\n"));
                return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1).strip();
            }
        }

        /** Waits until an answer comes at the control address. */
        void awaitControl() throws IOException {
            await("");
        }

        /** Waits until the process serves clients. */
        void awaitServing() throws IOException {
            await("YES");
        }

        private void await(String beginning) throws IOException {
            double until = ms() + 30_000;
            while (ms() < until && process.isAlive()) {
                try {
                    if (call("health").startsWith(beginning)) {
                        return;
                    }
                } catch (IOException e) {
                    // Not yet.
                }
                sleep(2);
            }
            throw new IOException(name + " does not answer, or has ended");
        }

        void signal(String signal) throws Exception {
            log(name, "SIG" + signal);
            new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
        }
    }

    private static String runCommand() throws IOException {
        Matcher run = Pattern.compile("(?m)^run\\s*=\\s*\"(.*)\"\\s*(#.*)?$")
                .matcher(Files.readString(Path.of("deploy/balancer.toml")));
        if (!run.find()) {
            throw new IOException("deploy file without run");
        }
        return run.group(1);
    }

    Path temporary() {
        return temporary;
    }

    Node startNode(String config) throws Exception {
        Node node = new Node("n1", config, freePort(), freePort());
        node.awaitUp();
        return node;
    }

    /** Settings of a small deployment: those of the page on the wire, with the site's classes and their deadlines. */
    static String config(
            Discovery discovery, int nodes, String classes, String limits, String extra, int sockets, int memoryMb) {
        return "{\"name\":\"n1\",\"listen\":\"127.0.0.1:1\",\"control\":\"127.0.0.1:1\",\"discovery\":\"" + discovery.address()
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb
                + ",\"sockets\":" + sockets + "},\"known\":" + discovery.list(-1)
                + ",\"settings\":{\"balancers\":" + nodes + ",\"me\":0,\"callers\":{\"marksRetry\":true},\"classes\":["
                + classes + "],\"countedBy\":\"request\",\"costs\":{\"crossZone\":0.029,\"lateFail\":0.03,\"waste\":0.1},"
                + extra
                + "\"kinds\":[\"full-core\"],\"layers\":[\"app-servers\"],"
                + "\"limits\":{\"attemptsCap\":4,\"cancelling\":true,\"connIdleUs\":60000000,\"cpuUsPerRequest\":0,"
                + "\"cpuUsPerS\":8000,\"dialTimeoutUs\":200000,\"maxOpen\":20000,\"maxRetryAfterUs\":2000000,"
                + "\"parallelTries\":true,\"peerMessages\":false,\"probes\":false,\"retryAfter\":false,"
                + "\"streamsPerConn\":1" + limits + "},\"membershipMode\":\"pushed\",\"myZone\":\"ebene\","
                + "\"quantumUs\":5000,\"realms\":[],\"report\":{\"fields\":[\"depth\",\"concurrent\"],\"via\":\"answers\"},"
                + "\"rules\":{\"askWithinUs\":10000000,\"coldFrom\":0.3,\"coldUs\":9000000,\"drainGraceUs\":1000000,"
                + "\"fallUs\":3000000,\"graceToAnswerUs\":20000,\"overloadFactor\":3.0},\"serviceType\":\"proxy\","
                + "\"tier\":0,\"weights\":\"none\",\"zones\":[\"ebene\",\"port-louis\",\"rose-belle\"]}}";
    }

    static String classOf(String name, String repeat, long onTimeUs, long giveUpUs, double importance) {
        return "{\"name\":\"" + name + "\",\"repeat\":\"" + repeat + "\",\"onTimeUs\":" + onTimeUs + ",\"giveUpUs\":"
                + giveUpUs + ",\"importance\":" + importance
                + ",\"lateWorth\":0.0,\"stream\":false,\"group\":\"all\",\"windowUs\":5000000}";
    }

    /** The four classes of covoit-maurice. */
    static String siteClasses() {
        return classOf("search", "safe", 400_000, 2_000_000, 1) + ","
                + classOf("book-seat", "unsafe", 2_000_000, 6_000_000, 5) + ","
                + classOf("post-trip", "unsafe", 2_500_000, 5_000_000, 2) + ","
                + classOf("settle", "unsafe", 2_500_000, 5_000_000, 3);
    }

    static final String WARM_KEYS = "\"extra\":{\"warmKeys\":true},";
}
