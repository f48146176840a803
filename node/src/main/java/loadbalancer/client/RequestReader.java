package loadbalancer.client;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import loadbalancer.config.ClassRegistry;
import loadbalancer.http.ProtocolHeaders;
import loadbalancer.policy.Idempotency;

/**
 * Parses the head of a client's request and rejects a head that violates the protocol.
 *
 * <p>Immutable. A reload of the configuration creates a new reader.
 */
public final class RequestReader {
    /** The root of the paths whose requests are forwarded to servers. */
    public static final String REQUEST_ROOT = "/api";

    private static final String SCHEME = "http://";
    private static final int UNKNOWN_TENANT = -1;

    /** Transit time from the client to the node, which the client does not subtract from the remaining time. */
    private static final long CLIENT_TO_NODE_US = 1_000;

    private static final double MAX_REMAINING_US = 3.6e9;
    private static final double MICROS_PER_MILLI = 1_000;

    /** Stricter than {@link Double#parseDouble}, which also accepts {@code 1f}, {@code 0x1p3}, NaN and whitespace. */
    private static final Pattern DECIMAL = Pattern.compile("[0-9.]{1,20}");

    private final ClassRegistry registry;

    /** Creates a reader for the classes and tenants of a configuration. */
    public RequestReader(ClassRegistry registry) {
        this.registry = registry;
    }

    /**
     * Returns path and query of a request target, without the scheme and authority that a client may put before them.
     */
    static String target(String uri) {
        if (!uri.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
            return uri;
        }
        String authorityAndTarget = uri.substring(SCHEME.length());
        int targetStart = 0;
        while (targetStart < authorityAndTarget.length() && "/?".indexOf(authorityAndTarget.charAt(targetStart)) < 0) {
            targetStart++;
        }
        String target = authorityAndTarget.substring(targetStart);
        return target.startsWith("/") ? target : "/" + target;
    }

    static String path(String uri) {
        int end = uri.indexOf('?');
        return end < 0 ? uri : uri.substring(0, end);
    }

    /** Returns whether requests to this path are forwarded to a server. */
    static boolean isRequestPath(String path) {
        return path.startsWith(REQUEST_ROOT + "/") || path.equals(REQUEST_ROOT);
    }

    /**
     * Parses the head of a request whose path {@linkplain #isRequestPath is forwarded}.
     *
     * @throws BadRequestException if the head violates the protocol
     */
    ClientRequest.Head read(HttpRequest message) throws BadRequestException {
        String requestId = required(message, ProtocolHeaders.REQUEST_ID);
        String idempotencyKey = optional(message, ProtocolHeaders.IDEMPOTENCY_KEY);
        int classIndex =
                classIndex(required(message, ProtocolHeaders.REQUEST_CLASS), message.method(), idempotencyKey != null);
        String tenant = optional(message, ProtocolHeaders.TENANT);
        return new ClientRequest.Head(
                message.method(),
                message.uri(),
                requestId,
                idempotencyKey,
                classIndex,
                tenant == null ? UNKNOWN_TENANT : registry.tenantIndices().getOrDefault(tenant, UNKNOWN_TENANT),
                parseRemainingUs(required(message, ProtocolHeaders.REMAINING_TIME)),
                parseEstimatedWorkUs(optional(message, ProtocolHeaders.ESTIMATED_WORK)),
                ProtocolHeaders.TRUE.equals(optional(message, ProtocolHeaders.CLIENT_RETRY)),
                affinityKey(path(message.uri())),
                message.protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0);
    }

    /** Returns the index of the class of a request, or {@link RejectedRequests#NO_CLASS} if its head is not valid. */
    int classIndexOf(HttpRequest message) {
        try {
            return isRequestPath(path(target(message.uri()))) ? read(message).classIndex() : RejectedRequests.NO_CLASS;
        } catch (BadRequestException e) {
            return RejectedRequests.NO_CLASS;
        }
    }

    /** Returns the last segment of the path, or null if it is empty. */
    private static String affinityKey(String path) {
        String lastSegment = path.substring(path.lastIndexOf('/') + 1);
        return lastSegment.isEmpty() ? null : lastSegment;
    }

    /**
     * Returns the index of the class of this name that matches the request's method and idempotency key. Each class has
     * one idempotency rule; under the rule of another class, a request that must not run twice could be retried. For a
     * while after a reload, a name may refer to several classes with different rules.
     */
    private int classIndex(String name, HttpMethod method, boolean hasIdempotencyKey) throws BadRequestException {
        boolean anyMethodFits = false;
        for (int index : registry.acceptedIndices().getOrDefault(name, Set.of())) {
            Idempotency idempotency = registry.classes().get(index).idempotency();
            boolean methodFits =
                    method.equals(idempotency == Idempotency.IDEMPOTENT ? HttpMethod.GET : HttpMethod.POST);
            boolean keyFits = (idempotency == Idempotency.IDEMPOTENT_WITH_KEY) == hasIdempotencyKey;
            if (methodFits && keyFits) {
                return index;
            }
            anyMethodFits |= methodFits;
        }
        if (!registry.acceptedIndices().containsKey(name)) {
            throw BadRequestException.unknownClass(ProtocolHeaders.REQUEST_CLASS);
        }
        throw anyMethodFits
                ? BadRequestException.idempotencyKeyMismatch(ProtocolHeaders.IDEMPOTENCY_KEY)
                : BadRequestException.methodMismatch();
    }

    private static String required(HttpRequest message, String name) throws BadRequestException {
        String value = optional(message, name);
        if (value == null || value.isEmpty()) {
            throw BadRequestException.missingHeader(name);
        }
        return value;
    }

    private static String optional(HttpRequest message, String name) throws BadRequestException {
        List<String> values = message.headers().getAll(name);
        if (values.size() > 1) {
            throw BadRequestException.duplicateHeader(name);
        }
        return values.isEmpty() ? null : values.get(0);
    }

    /**
     * Parses a remaining time, a number followed by a unit, and subtracts the transit time from the client to the node.
     *
     * @return the remaining time in microseconds, at least 0
     * @throws BadRequestException if the text cannot be parsed or exceeds one hour
     */
    public static long parseRemainingUs(String text) throws BadRequestException {
        double microsPerUnit = microsPerUnit(text);
        double remainingUs =
                microsPerUnit * parseNumber(text.substring(0, text.length() - 1), ProtocolHeaders.REMAINING_TIME);
        if (microsPerUnit == 0 || remainingUs > MAX_REMAINING_US) {
            throw BadRequestException.unreadableHeader(ProtocolHeaders.REMAINING_TIME);
        }
        return Math.max(0, (long) remainingUs - CLIENT_TO_NODE_US);
    }

    /** Returns the unit at the end of a time in microseconds, or 0 if there is none. */
    private static double microsPerUnit(String text) {
        if (text.endsWith("m")) {
            return MICROS_PER_MILLI;
        }
        return text.endsWith("u") ? 1 : 0;
    }

    private static long parseEstimatedWorkUs(String text) throws BadRequestException {
        return text == null ? 0 : (long) parseNumber(text, ProtocolHeaders.ESTIMATED_WORK);
    }

    private static double parseNumber(String text, String headerName) throws BadRequestException {
        if (!DECIMAL.matcher(text).matches()) {
            throw BadRequestException.unreadableHeader(headerName);
        }
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            throw BadRequestException.unreadableHeader(headerName);
        }
    }
}
