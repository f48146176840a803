package loadbalancer.policy;

/** A tenant, whose requests are served like all others'. */
public record Tenant(String name) {}
