package loadbalancer.membership.codec;

import java.util.List;
import java.util.Map;
import loadbalancer.membership.core.Member;

/**
 * How a process sees its fleet, as it answers from outside.
 *
 * @param version grows with each change
 * @param digest equal for processes that hold the same live members in the same generations
 * @param localHealth score of the process's local health: 0 is healthy
 * @param others all other members that it holds, dead and left ones included
 * @param metrics counted since its start, by name
 */
public record MembershipView(
        long version, long digest, int localHealth, Member self, List<Member> others, Map<String, Long> metrics) {}
