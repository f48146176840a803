package loadbalancer.admin;

import loadbalancer.common.Log;

/** Executes operators' calls on a node. Used on the event loop of the node only. */
final class ControlCallHandler {
    private final NodeOperations node;

    ControlCallHandler(NodeOperations node) {
        this.node = node;
    }

    /** Executes the call on the given line. Returns a response also if the call is invalid or fails. */
    ControlResponse handle(String line) {
        try {
            return handle(ControlCall.parse(line));
        } catch (RejectedCallException e) {
            return ControlResponse.rejected(e.getMessage());
        }
    }

    private ControlResponse handle(ControlCall call) throws RejectedCallException {
        try {
            return switch (call.type()) {
                case HEALTH -> health();
                case METRICS -> ControlResponse.metrics(node.metrics());
                case CORDON -> ControlResponse.acceptedAfter(node.setCordoned(call.serverId(), true));
                case UNCORDON -> ControlResponse.acceptedAfter(node.setCordoned(call.serverId(), false));
            };
        } catch (RuntimeException | Error e) {
            // A bug in the node: the operator still receives a response, and clients stay connected.
            Log.error("control_call_error", e, "call", call.type().wireName());
            return ControlResponse.rejected("defect in the node");
        }
    }

    private ControlResponse health() throws RejectedCallException {
        if (!node.isServing()) {
            throw new RejectedCallException("not serving");
        }
        return ControlResponse.accepted();
    }
}
