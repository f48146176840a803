package loadbalancer.client;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Set;
import loadbalancer.config.ClassRegistry;
import loadbalancer.policy.Idempotency;

/** Reads a client's request by the protocol; what does not keep to it is turned down here. */
public final class RequestReader {
    private static final String PREFIX = "/api/";
    private static final String SCHEME = "http://";
    /** The way from the client, by which its time is shorter than it says. */
    private static final long WAY_US = 1_000;

    private static final double MOST_LEFT_US = 3.6e9;

    private final ClassRegistry registry;

    public RequestReader(ClassRegistry registry) {
        this.registry = registry;
    }

    /** Path and query of what is asked for, which a client may write with the host that it asks. */
    static String target(String uri) {
        if (!uri.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
            return uri;
        }
        String behind = uri.substring(SCHEME.length());
        int host = 0;
        while (host < behind.length() && "/?".indexOf(behind.charAt(host)) < 0) {
            host++;
        }
        String target = behind.substring(host);
        return target.startsWith("/") ? target : "/" + target;
    }

    static String path(String uri) {
        int end = uri.indexOf('?');
        return end < 0 ? uri : uri.substring(0, end);
    }

    static boolean isRequestPath(String path) {
        return path.startsWith(PREFIX) || path.equals("/api");
    }

    ClientRequest.Head read(HttpRequest message) throws BadRequestException {
        String txn = need(message, "X-Txn");
        String idempotencyKey = one(message, "Idempotency-Key");
        int classIndex = classIndex(need(message, "X-Lane"), message.method(), idempotencyKey != null);
        String tenant = one(message, "X-Org");
        String path = path(message.uri());
        String key = path.substring(path.lastIndexOf('/') + 1);
        return new ClientRequest.Head(
                message.method(),
                message.uri(),
                txn,
                idempotencyKey,
                classIndex,
                tenant == null ? -1 : registry.tenantIndices().getOrDefault(tenant, -1),
                parseRemainingUs(need(message, "X-Remaining")),
                work(one(message, "X-Estimate")),
                "1".equals(one(message, "X-Resent")),
                key.isEmpty() ? null : key,
                message.protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0);
    }

    /**
     * The class that the client means. A class stands for one way to repeat: were another asked for, an
     * effect could happen twice. While its rules change, how a client asks tells by which of them.
     */
    private int classIndex(String name, HttpMethod method, boolean keyed) throws BadRequestException {
        boolean methodFits = false;
        for (int classIndex : registry.acceptedIndices().getOrDefault(name, Set.of())) {
            Idempotency repeat = registry.classes().get(classIndex).idempotency();
            boolean fits = method.equals(repeat == Idempotency.IDEMPOTENT ? HttpMethod.GET : HttpMethod.POST);
            if (fits && repeat == Idempotency.IDEMPOTENT_WITH_KEY == keyed) {
                return classIndex;
            }
            methodFits |= fits;
        }
        throw new BadRequestException(
                !registry.acceptedIndices().containsKey(name)
                        ? "X-Lane names no class"
                        : methodFits
                                ? "Idempotency-Key does not go with the class"
                                : "the class does not go with the method");
    }

    private static String need(HttpRequest message, String name) throws BadRequestException {
        String value = one(message, name);
        if (value == null || value.isEmpty()) {
            throw new BadRequestException(name + " is missing");
        }
        return value;
    }

    private static String one(HttpRequest message, String name) throws BadRequestException {
        List<String> values = message.headers().getAll(name);
        if (values.size() > 1) {
            throw new BadRequestException(name + " is given twice");
        }
        return values.isEmpty() ? null : values.get(0);
    }

    /** Time left by X-Remaining, a number and a unit. */
    public static long parseRemainingUs(String text) throws BadRequestException {
        double unit = text.endsWith("m") ? 1_000 : text.endsWith("u") ? 1 : 0;
        double us = unit * number(text.substring(0, text.length() - 1), "X-Remaining");
        if (unit == 0 || us > MOST_LEFT_US) {
            throw new BadRequestException("X-Remaining cannot be read");
        }
        return Math.max(0, (long) us - WAY_US);
    }

    private static long work(String text) throws BadRequestException {
        return text == null ? 0 : (long) number(text, "X-Estimate");
    }

    private static double number(String text, String name) throws BadRequestException {
        // Not all that Double.parseDouble takes: it reads 1f, 0x1p3, NaN and blanks too.
        if (text.matches("[0-9.]{1,20}")) {
            try {
                return Double.parseDouble(text);
            } catch (NumberFormatException e) {
                // Named below.
            }
        }
        throw new BadRequestException(name + " cannot be read");
    }
}
