package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class SubsetSelectorTest {
    private final RuleFixture fixture = new RuleFixture(0);
    private final SubsetSelector selector = new SubsetSelector(fixture.state);

    private ServerRecord[] servers(int count) {
        return IntStream.range(0, count).mapToObj(i -> fixture.server("s" + i)).toArray(ServerRecord[]::new);
    }

    @Test
    void fewNodesUseAllServersInListOrder() {
        fixture.settings.nodes = 24;
        ServerRecord[] candidates = servers(50);
        assertArrayEquals(candidates, selector.select(candidates));
    }

    @Test
    void twentyFourNodesShareEachServerInALargeFleet() {
        fixture.settings.nodes = 240;
        assertEquals(20, selector.select(servers(200)).length);
    }

    @Test
    void subsetHasAtLeastFourServers() {
        fixture.settings.nodes = 1_000;
        assertEquals(4, selector.select(servers(100)).length);
    }

    @Test
    void subsetHasMoreLocalServersWhereCrossingZonesHasACost() {
        fixture.settings.nodes = 240;
        fixture.settings.crossZoneCost = 0.02;
        ServerRecord[] candidates = servers(200);
        Arrays.stream(candidates).skip(100).forEach(server -> server.zone = 1);
        ServerRecord[] selected = selector.select(candidates);
        long local = Arrays.stream(selected).filter(server -> server.zone == 0).count();
        assertEquals(20, local);
        assertTrue(selected.length - local <= 10 && selected.length > local, selected.length + " in all");
    }
}
