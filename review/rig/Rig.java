import java.io.BufferedInputStream;
import java.io.BufferedWriter;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * What the cases share: one node, started by {@code run} of the deploy file, and stand-ins for discovery and app servers
 * on loopback addresses, with blocking sockets and a thread for each connection.
 */
@SuppressWarnings("try")
final class Rig implements AutoCloseable {
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    /** Whether the case plays its disruption; {@code TROUBLE=0} leaves it out. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    final Path root;
    final long startedNanos = System.nanoTime();
    private final BufferedWriter record;
    private final Path temporary;
    private final List<AutoCloseable> open = new CopyOnWriteArrayList<>();
    private Process node;
    InetSocketAddress nodeAddress;

    Rig(Path root, Path recordFile) throws IOException {
        this.root = root;
        record = Files.newBufferedWriter(recordFile);
        temporary = Files.createTempDirectory("review");
        log("run", "trouble=" + TROUBLE);
    }

    /** Microseconds since the case began. */
    long nowUs() {
        return (System.nanoTime() - startedNanos) / 1_000;
    }

    void log(String who, String text) {
        synchronized (record) {
            try {
                record.write(String.format(Locale.ROOT, "%10.3f ms  %-10s %s%n", nowUs() / 1e3, who, text));
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    /** A line for the record and for standard output. */
    void say(String text) {
        System.out.println(text);
        log("result", text);
    }

    // ---------------------------------------------------------------- the node

    /** Starts one node before these app servers and waits until it answers 200 to its readiness check. */
    void startNode(String settings, List<AppServer> servers, int sockets) throws Exception {
        Discovery discovery = new Discovery(servers);
        open.add(discovery);
        nodeAddress = freeAddress();
        Path config = temporary.resolve("config.json");
        String listen = text(nodeAddress);
        Files.writeString(
                config,
                "{\"name\":\"n0\",\"listen\":\"" + listen + "\",\"discovery\":\"" + text(discovery.address())
                        + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":"
                        + sockets + "},\"known\":" + list(servers) + ",\"settings\":" + settings + "}");
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$")
                .matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!run.find()) {
            throw new IllegalStateException("no run in the deploy file");
        }
        Path nodeTemporary = Files.createDirectory(temporary.resolve("node"));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1))
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(temporary.resolve("node.log").toFile());
        builder.environment().put("PROXY_NAME", "n0");
        builder.environment().put("PROXY_LISTEN", listen);
        builder.environment().put("PROXY_DISCOVERY", text(discovery.address()));
        builder.environment().put("PROXY_CONFIG", config.toString());
        builder.environment().put("TMPDIR", nodeTemporary.toString());
        builder.environment().remove("PROXY_CONTROL");
        builder.environment().remove("PROXY_SOCKET_FD");
        node = builder.start();
        log("node", "started, listens on " + listen);
        for (long until = System.nanoTime() + 30_000_000_000L; System.nanoTime() < until; Thread.sleep(50)) {
            if (isUp()) {
                log("node", "ready");
                Thread.sleep(300);
                return;
            }
        }
        throw new IllegalStateException("the node is not ready after 30 s");
    }

    private boolean isUp() {
        try (Client client = connect()) {
            client.socket.setSoTimeout(1_000);
            client.write("GET /up HTTP/1.1\r\nHost: backend.local\r\n\r\n");
            return client.readAnswer().status == 200;
        } catch (IOException e) {
            return false;
        }
    }

    boolean nodeIsAlive() {
        return node.isAlive();
    }

    long nodePid() {
        return node.pid();
    }

    private InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, LOOPBACK)) {
            return new InetSocketAddress(LOOPBACK, probe.getLocalPort());
        }
    }

    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private static String list(List<AppServer> servers) {
        StringBuilder json = new StringBuilder("{\"rev\":41,\"all\":true,\"targets\":[");
        for (int i = 0; i < servers.size(); i++) {
            json.append(i == 0 ? "" : ",")
                    .append("{\"uid\":\"" + servers.get(i).name + "\",\"endpoint\":\"" + text(servers.get(i).address())
                            + "\",\"az\":\"ebene\",\"model\":\"full-core\",\"pod_group\":0,\"state\":\"Ready\","
                            + "\"capacity_hint\":1.0,\"boot_ms\":0}");
        }
        return json + "]}";
    }

    /** Settings as in the example of the wire's page, for one node and one zone. */
    static String settings(String classes, long dialTimeoutUs) {
        return "{\"balancers\":1,\"me\":0,\"callers\":{\"marksRetry\":true},\"classes\":[" + classes + "],"
                + "\"costs\":{\"crossZone\":0.029,\"lateFail\":0.03,\"waste\":0.1},\"countedBy\":\"request\","
                + "\"extra\":{\"warmKeys\":false},\"goal\":{\"whole\":0.35,\"worstClass\":0.2,\"worstWindow\":0.45},"
                + "\"kinds\":[\"full-core\"],\"layers\":[\"app-servers\"],"
                + "\"limits\":{\"attemptsCap\":4,\"cancelling\":true,\"connIdleUs\":60000000,\"cpuUsPerRequest\":0,"
                + "\"cpuUsPerS\":8000,\"dialTimeoutUs\":" + dialTimeoutUs + ",\"maxOpen\":20000,"
                + "\"maxRetryAfterUs\":2000000,\"parallelTries\":true,\"peerMessages\":false,\"probes\":false,"
                + "\"retryAfter\":false,\"streamsPerConn\":1},"
                + "\"membershipMode\":\"pushed\",\"myZone\":\"ebene\",\"overShareWorth\":0.1,\"quantumUs\":5000,"
                + "\"realms\":[],\"report\":{\"fields\":[\"depth\",\"concurrent\"],\"via\":\"answers\"},"
                + "\"rules\":{\"askWithinUs\":10000000,\"coldFrom\":0.3,\"coldUs\":9000000,\"drainGraceUs\":1000000,"
                + "\"fallUs\":3000000,\"graceToAnswerUs\":20000,\"overloadFactor\":3.0},"
                + "\"serviceType\":\"proxy\",\"tier\":0,\"weights\":\"none\",\"zones\":[\"ebene\"]}";
    }

    static String requestClass(String name, String repeat, long onTimeUs, long giveUpUs) {
        return "{\"name\":\"" + name + "\",\"repeat\":\"" + repeat + "\",\"onTimeUs\":" + onTimeUs + ",\"giveUpUs\":"
                + giveUpUs + ",\"importance\":1.0,\"lateWorth\":0.0,\"group\":\"all\",\"stream\":false,"
                + "\"windowUs\":5000000}";
    }

    // ---------------------------------------------------------------- HTTP

    /** A message as read: its first line, header fields with names in lower case, and body. */
    static final class Message {
        String firstLine;
        int status;
        final Map<String, String> fields = new LinkedHashMap<>();
        byte[] body = {};

        String field(String name) {
            return fields.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }
    }

    /** Reads the first line and the header fields; null at the end of the stream before any byte. */
    static Message readHead(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        Message message = new Message();
        message.firstLine = line;
        for (line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            message.fields.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
        if (line == null) {
            throw new EOFException("end within a head");
        }
        return message;
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b == '\n') {
                return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
            }
            line.write(b);
        }
        if (line.size() > 0) {
            throw new EOFException("end within a line");
        }
        return null;
    }

    /** Reads the body of a request, or of an answer that states a length or comes in chunks. */
    static void readBody(InputStream in, Message message) throws IOException {
        if (message.field("transfer-encoding").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String size = readLine(in);
                if (size == null) {
                    throw new EOFException("end within a body");
                }
                int length = Integer.parseInt(size.strip(), 16);
                body.write(readExactly(in, length));
                readLine(in);
                if (length == 0) {
                    break;
                }
            }
            message.body = body.toByteArray();
        } else if (!message.field("content-length").isEmpty()) {
            message.body = readExactly(in, Integer.parseInt(message.field("content-length")));
        }
    }

    private static byte[] readExactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("end within a body");
        }
        return bytes;
    }

    // ---------------------------------------------------------------- clients

    /** A client's connection to the node. */
    static final class Client implements AutoCloseable {
        final Socket socket;
        final InputStream in;
        final OutputStream out;

        Client(InetSocketAddress address) throws IOException {
            socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.connect(address, 2_000);
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        void write(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        /** Reads a whole answer. */
        Message readAnswer() throws IOException {
            Message answer = readHead(in);
            if (answer == null) {
                throw new EOFException("closed before an answer");
            }
            answer.status = Integer.parseInt(answer.firstLine.split(" ")[1]);
            readBody(in, answer);
            return answer;
        }

        /** Closes the connection after this time, whatever it waits for then. */
        void closeAfter(long millis) {
            daemon(() -> {
                Thread.sleep(millis);
                socket.close();
            });
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    Client connect() throws IOException {
        return new Client(nodeAddress);
    }

    /** The head of a client's request. */
    static String requestHead(String method, String key, String id, String lane, long remainingMs, int bodyBytes) {
        return method + " /api/" + key + " HTTP/1.1\r\nHost: backend.local\r\nX-Txn: " + id + "\r\nX-Lane: " + lane
                + "\r\nX-Remaining: " + remainingMs + "m\r\n"
                + (bodyBytes < 0 ? "" : "Content-Length: " + bodyBytes + "\r\n") + "\r\n";
    }

    // ---------------------------------------------------------------- app servers

    /** Answers one request that has arrived in full. */
    interface Handler {
        /** Returns whether the connection goes on. */
        boolean handle(AppServer server, Connection connection, Message request) throws Exception;
    }

    /** A connection from the node to an app server. */
    static final class Connection {
        final Socket socket;
        final InputStream in;
        final OutputStream out;
        int requests;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        synchronized void write(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }
    }

    static String answer(String body) {
        return "HTTP/1.1 200 OK\r\nX-Pressure: TEXT inflight=1, queue=0\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body;
    }

    /** A stand-in for an app server: reads a whole request, then calls its handler. */
    final class AppServer implements AutoCloseable {
        final String name;
        final Handler handler;
        private final ServerSocket listener;
        private volatile boolean closed;

        AppServer(String name, Handler handler) throws IOException {
            this.name = name;
            this.handler = handler;
            listener = new ServerSocket(0, 512, LOOPBACK);
            open.add(this);
            daemon(this::accept);
        }

        InetSocketAddress address() {
            return new InetSocketAddress(LOOPBACK, listener.getLocalPort());
        }

        private void accept() throws IOException {
            while (!closed) {
                Socket socket = listener.accept();
                daemon(() -> serve(socket));
            }
        }

        private void serve(Socket socket) throws Exception {
            try (socket) {
                Connection connection = new Connection(socket);
                while (true) {
                    Message request = readHead(connection.in);
                    if (request == null) {
                        return;
                    }
                    readBody(connection.in, request);
                    connection.requests++;
                    if (!handler.handle(this, connection, request)) {
                        return;
                    }
                }
            }
        }

        @Override
        public void close() throws IOException {
            closed = true;
            listener.close();
        }
    }

    // ---------------------------------------------------------------- discovery

    /** A stand-in for discovery's agent: one list that never changes, with an empty line every 2 s. */
    private final class Discovery implements AutoCloseable {
        private final ServerSocket listener = new ServerSocket(0, 64, LOOPBACK);
        private final List<AppServer> servers;
        private volatile boolean closed;

        Discovery(List<AppServer> servers) throws IOException {
            this.servers = servers;
            daemon(this::accept);
        }

        InetSocketAddress address() {
            return new InetSocketAddress(LOOPBACK, listener.getLocalPort());
        }

        private void accept() throws IOException {
            while (!closed) {
                Socket socket = listener.accept();
                daemon(() -> serve(socket));
            }
        }

        private void serve(Socket socket) throws Exception {
            try (socket) {
                Connection connection = new Connection(socket);
                Message request = readHead(connection.in);
                log("discovery", request.firstLine);
                if (!request.firstLine.contains("watch=1")) {
                    connection.write(answer(list(servers)));
                    return;
                }
                connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                chunk(connection, list(servers) + "\n");
                while (!closed) {
                    Thread.sleep(2_000);
                    chunk(connection, "\n");
                }
            }
        }

        private void chunk(Connection connection, String text) throws IOException {
            connection.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }

        @Override
        public void close() throws IOException {
            closed = true;
            listener.close();
        }
    }

    // ---------------------------------------------------------------- threads and the end

    /** A task that may throw; what it throws ends its thread only. */
    interface Task {
        void run() throws Exception;
    }

    static Thread daemon(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // The peer has closed or reset the connection, or the case has ended.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Ends the node and the stand-ins, appends the node's log to the record, and removes the temporary folder. */
    @Override
    public void close() throws Exception {
        if (node != null) {
            log("node", node.isAlive() ? "is still running; killed by the case" : "HAS ENDED, code " + node.exitValue());
            node.destroyForcibly();
            node.waitFor(10, TimeUnit.SECONDS);
            log("node", "its log follows");
            synchronized (record) {
                List<String> lines = Files.readAllLines(temporary.resolve("node.log"));
                for (String line : lines.subList(0, Math.min(200, lines.size()))) {
                    record.write("    " + line + System.lineSeparator());
                }
            }
        }
        for (AutoCloseable part : new ArrayList<>(open)) {
            part.close();
        }
        synchronized (record) {
            record.flush();
        }
        try (Stream<Path> files = Files.walk(temporary)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }

    /** Runs a case: exit code 1 if it returns true (the rule was broken), 0 if false, 2 if it could not run. */
    interface Case {
        boolean run(Rig rig) throws Exception;
    }

    static void main(String[] arguments, Case play) {
        int code = 2;
        try (Rig rig = new Rig(Path.of(arguments[0]), Path.of(arguments[1]))) {
            // The node must not outlive the case, whatever ends it.
            Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                if (rig.node != null) {
                    rig.node.destroyForcibly();
                }
            }));
            code = play.run(rig) ? 1 : 0;
            rig.log("result", "exit code " + code);
        } catch (Exception e) {
            e.printStackTrace();
            code = 2;
        }
        System.exit(code);
    }
}
