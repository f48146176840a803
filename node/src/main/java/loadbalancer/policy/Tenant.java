package loadbalancer.policy;

/** A tenant. Requests of all tenants are treated alike. */
public record Tenant(String name) {}
