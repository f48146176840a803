package loadbalancer.membership.core;

/**
 * What is passed on of a member.
 *
 * @param by who says so: suspicions count by how many independent members hold them
 */
public record GossipUpdate(Member member, String by) {}
