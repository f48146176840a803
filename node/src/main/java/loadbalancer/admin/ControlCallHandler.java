package loadbalancer.admin;

import loadbalancer.common.Log;

/** Carries out operators' calls on a node. Used on the event loop of the node only. */
final class ControlCallHandler {
    private final NodeOperations node;

    ControlCallHandler(NodeOperations node) {
        this.node = node;
    }

    /** Carries out the call on this line and returns its answer, also where the call fails. */
    ControlAnswer handle(String line) {
        try {
            return handle(ControlCall.parse(line));
        } catch (RejectedCallException e) {
            return ControlAnswer.rejected(e.getMessage());
        }
    }

    private ControlAnswer handle(ControlCall call) throws RejectedCallException {
        try {
            return switch (call.type()) {
                case HEALTH -> health();
                case METRICS -> ControlAnswer.metrics(node.metrics());
                case CORDON -> ControlAnswer.acceptedAfter(node.setCordoned(call.serverId(), true));
                case UNCORDON -> ControlAnswer.acceptedAfter(node.setCordoned(call.serverId(), false));
            };
        } catch (RuntimeException e) {
            // A defect in the node: the operator gets an answer, and the connections of clients live on.
            Log.error("control_call_error", e, "call", call.type().wireName());
            return ControlAnswer.rejected("defect in the node");
        }
    }

    private ControlAnswer health() throws RejectedCallException {
        if (!node.isServing()) {
            throw new RejectedCallException("not serving");
        }
        return ControlAnswer.accepted();
    }
}
