package loadbalancer.harness.simulation;

import loadbalancer.harness.time.Timeline.Timer;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.AttemptResult;
import loadbalancer.policy.LoadReport;

/** One attempt of a simulated node: connects, sends the request, and waits for the reply or the timeout. */
final class SimAttempt {
    private final SimNode node;
    private final SimRequest request;
    private final int number;
    private final AppServer server;
    private final long sentAtUs;
    private AppServer.Job job;
    private boolean connected;
    private boolean ended;
    private Timer timeout;

    SimAttempt(SimNode node, SimRequest request, AppServer server) {
        this.node = node;
        this.request = request;
        this.server = server;
        number = request.attempts.size();
        sentAtUs = node.testbed().time().nowUs();
    }

    int number() {
        return number;
    }

    void start(long untilUs) {
        request.attemptsInFlight++;
        if (untilUs <= sentAtUs || number >= node.settings().maxAttempts || request.ended) {
            node.schedule(0, () -> end(AttemptResult.MOOT, null));
            return;
        }
        timeout = node.schedule(untilUs - sentAtUs, () -> {
            server.abandon(job);
            end(connected ? AttemptResult.TIMEOUT : AttemptResult.CONNECT_FAILED, null);
        });
        long oneWayUs = links().delay(node.random(), node.zone(), server);
        if (node.connections().acquireIdle(server)) {
            sendRequest(oneWayUs, untilUs);
        } else {
            connect(oneWayUs, untilUs);
        }
    }

    private Links links() {
        return node.testbed().links();
    }

    private boolean isServerUnreachable() {
        return server.isUnreachable()
                || links().isBlocked(node.zone(), server.zone())
                || links().isBlocked(server.zone(), node.zone());
    }

    private void connect(long oneWayUs, long untilUs) {
        if (isServerUnreachable()) {
            node.schedule(links().net().connectTimeoutUs(), () -> end(AttemptResult.CONNECT_FAILED, null));
        } else if (!server.connect(node.name())) {
            node.schedule(2 * oneWayUs, () -> end(AttemptResult.CONNECT_FAILED, null));
        } else {
            node.schedule(2 * oneWayUs * links().net().handshakeTrips(), () -> sendRequest(oneWayUs, untilUs));
        }
    }

    private void sendRequest(long oneWayUs, long untilUs) {
        if (ended) {
            server.disconnect(node.name());
            return;
        }
        connected = true;
        if (isServerUnreachable()) {
            return;
        }
        double workUs = node.testbed().attemptWork(request.request, node.random());
        node.schedule(oneWayUs, () -> {
            if (!ended) {
                job = server.submit(work(workUs, untilUs), this::onReply);
            }
        });
    }

    private Work work(double workUs, long untilUs) {
        return new Work(
                node.name(),
                request.id(),
                number,
                request.request.classIndex(),
                request.request.key(),
                workUs,
                untilUs);
    }

    private void onReply(AttemptResult result, LoadReport report) {
        if (isServerUnreachable() || links().isMuted(server)) {
            return;
        }
        node.schedule(links().delay(node.random(), node.zone(), server), () -> {
            if (!ended) {
                if (result != AttemptResult.RESET && result != AttemptResult.CONNECT_FAILED) {
                    node.connections().release(server);
                }
                end(result, report);
            }
        });
    }

    void cancel() {
        if (!ended) {
            server.abandon(job);
            if (connected) {
                server.disconnect(node.name());
            }
            end(AttemptResult.CANCELLED, null);
        }
    }

    /** Abandons the attempt when the node's process ends, without reporting an outcome. */
    void abandon() {
        if (!ended) {
            server.abandon(job);
        }
    }

    private void end(AttemptResult result, LoadReport report) {
        if (ended) {
            return;
        }
        ended = true;
        if (timeout != null) {
            timeout.cancel();
        }
        request.attemptsInFlight--;
        if (result == AttemptResult.TIMEOUT) {
            server.disconnect(node.name());
        }
        node.history().outcome(request.id(), number, server.id(), result);
        if (result == AttemptResult.OK && !request.ended) {
            node.respond(request, NodePort.RequestResult.OK);
        }
        // The balancer may have cancelled this attempt while it handles an event: report the outcome after that event.
        node.schedule(0, () -> node.reportOutcome(request, outcome(result, report)));
    }

    private AttemptOutcome outcome(AttemptResult result, LoadReport report) {
        long latencyUs = node.testbed().time().nowUs() - sentAtUs;
        return new AttemptOutcome(request.id(), number, result, latencyUs, request.ended, report);
    }
}
