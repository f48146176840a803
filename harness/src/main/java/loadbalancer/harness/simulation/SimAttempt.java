package loadbalancer.harness.simulation;

import loadbalancer.harness.time.Timeline.Timer;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.AttemptResult;
import loadbalancer.policy.LoadReport;

/** One attempt of a simulated node at a request: connect, send, and wait for the reply or the time-out. */
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
        sentAtUs = node.world().time().nowUs();
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
        long tripUs = links().delay(node.random(), node.zone(), server);
        if (node.connections().acquireIdle(server)) {
            sendRequest(tripUs, untilUs);
        } else {
            connect(tripUs, untilUs);
        }
    }

    private Links links() {
        return node.world().links();
    }

    private boolean isCutOff() {
        return server.isUnreachable()
                || links().isCut(node.zone(), server.zone())
                || links().isCut(server.zone(), node.zone());
    }

    private void connect(long tripUs, long untilUs) {
        if (isCutOff()) {
            node.schedule(links().net().connectTimeoutUs(), () -> end(AttemptResult.CONNECT_FAILED, null));
        } else if (!server.connect(node.name())) {
            node.schedule(2 * tripUs, () -> end(AttemptResult.CONNECT_FAILED, null));
        } else {
            node.schedule(2 * tripUs * links().net().handshakeTrips(), () -> sendRequest(tripUs, untilUs));
        }
    }

    private void sendRequest(long tripUs, long untilUs) {
        if (ended) {
            server.disconnect(node.name());
            return;
        }
        connected = true;
        if (isCutOff()) {
            return;
        }
        double workUs = node.world().attemptWork(request.request, node.random());
        node.schedule(tripUs, () -> {
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
        if (isCutOff() || links().isMuted(server)) {
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

    /** The node's process has ended; nothing is reported any more. */
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
            node.respond(request, NodePort.Answer.OK);
        }
        // The balancer may be in the middle of an event: the outcome of what it cancelled is reported afterwards.
        node.schedule(0, () -> node.reportOutcome(request, outcome(result, report)));
    }

    private AttemptOutcome outcome(AttemptResult result, LoadReport report) {
        long latencyUs = node.world().time().nowUs() - sentAtUs;
        return new AttemptOutcome(request.id(), number, result, latencyUs, request.ended, report);
    }
}
