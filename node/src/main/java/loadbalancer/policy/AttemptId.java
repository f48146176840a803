package loadbalancer.policy;

/** Identifies one attempt of a request by its number. */
record AttemptId(PendingRequest request, int attempt) {}
