package loadbalancer.common;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The room for sockets, with a limit of 68 descriptors: 20 sockets, of which clients may have 11. */
class SocketBudgetTest {
    private static final int DESCRIPTORS = 68;

    private long turn = 1;
    private final SocketBudget sockets = new SocketBudget(DESCRIPTORS, 0, () -> turn);

    private int openClients() {
        int opened = 0;
        while (sockets.hasRoomForClient()) {
            sockets.clientOpened();
            opened++;
        }
        return opened;
    }

    private int openServers() {
        int opened = 0;
        while (sockets.hasRoomForServer()) {
            sockets.serverOpened();
            opened++;
        }
        return opened;
    }

    @Test
    void clientsHaveAShareAndServersTheRest() {
        assertEquals(11, openClients());
        assertFalse(sockets.isWithinClientShare());
        assertEquals(9, openServers());
    }

    /** Guards against more descriptors than there are, where many sockets are closed and opened in one turn. */
    @Test
    void closedSocketsKeepTheirRoomUntilTheNextPoll() {
        openClients();
        openServers();
        sockets.clientClosed();
        sockets.serverClosed();
        assertTrue(sockets.isClosing());
        assertFalse(sockets.hasRoomForClient());
        assertFalse(sockets.hasRoomForServer());
        turn++;
        assertFalse(sockets.isClosing());
        assertTrue(sockets.isWithinClientShare());
        assertTrue(sockets.hasRoomForClient());
        assertEquals(2, openServers());
    }

    @Test
    void listenerIsToldOfEachCloseAtOnce() {
        int[] closed = new int[1];
        sockets.setCloseListener(() -> closed[0]++);
        sockets.clientOpened();
        sockets.serverOpened();
        sockets.clientClosed();
        sockets.serverClosed();
        assertEquals(2, closed[0]);
    }
}
