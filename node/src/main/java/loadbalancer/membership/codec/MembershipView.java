package loadbalancer.membership.codec;

import java.util.List;
import java.util.Map;
import loadbalancer.membership.core.Member;

/**
 * View that a process has of its fleet, as sent to clients outside the fleet.
 *
 * @param version increases with each change of the view
 * @param digest equal for processes whose views have the same live members in the same generations
 * @param localHealth local health score of the process; 0 is healthy
 * @param others all other members in the view, including dead and left ones
 * @param metrics metrics by name, since the start of the process
 */
public record MembershipView(
        long version, long digest, int localHealth, Member self, List<Member> others, Map<String, Long> metrics) {}
