package loadbalancer.policy;

/** One attempt of a request. */
record AttemptId(PendingRequest request, int attempt) {}
