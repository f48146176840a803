package loadbalancer.harness.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import loadbalancer.harness.soak.SoakPlan.Crowd;
import loadbalancer.harness.soak.SoakPlan.ServerPhase;
import loadbalancer.harness.soak.SoakPlatform.NodeProcess;

/** Plays a {@link SoakPlan} with a node as a process, and returns what was seen. */
public final class SoakRun {
    private static final int MEMORY_MB = 192;
    /** Clients of crowds that have stayed or come again have their answers by then. */
    private static final int SETTLE_MS = 4_000;

    private static final int SAMPLE_MS = 50;

    private final SoakPlan plan;
    private final Path folder;
    private final RequestLedger ledger = new RequestLedger();
    private final List<SoakServer> servers = new ArrayList<>();
    private final SplittableRandom random;
    private long startNanos;

    private SoakRun(SoakPlan plan, Path folder) {
        this.plan = plan;
        this.folder = folder;
        random = new SplittableRandom(plan.seed());
    }

    /**
     * Plays a plan.
     *
     * @param root the project's folder, in which the command runs
     * @param command the deploy file's command that starts a node
     * @param folder a folder of this run, for the configuration and the logs of the node
     */
    public static SoakReport play(SoakPlan plan, Path root, String command, Path folder)
            throws IOException, InterruptedException {
        return new SoakRun(plan, folder).play(root, command);
    }

    private SoakReport play(Path root, String command) throws IOException, InterruptedException {
        try (SoakDiscovery discovery = new SoakDiscovery()) {
            for (int i = 0; i < SoakPlan.SERVERS; i++) {
                servers.add(new SoakServer("s-" + i, ledger));
            }
            Path config = Files.writeString(folder.resolve("config.json"), configuration(discovery.address()));
            try (SoakPlatform platform = new SoakPlatform(root, command, folder, config, plan.faults(), ledger)) {
                return play(platform);
            }
        } finally {
            for (SoakServer server : servers) {
                server.close();
            }
        }
    }

    private SoakReport play(SoakPlatform platform) throws IOException, InterruptedException {
        NodeProcess process = platform.start();
        startNanos = System.nanoTime();
        OrdinaryClients ordinary =
                new OrdinaryClients(platform, ledger, plan.faults().ordinaryClients());
        ordinary.start(random.split());
        SlowTransferClients transfers = new SlowTransferClients(platform, ledger);
        // A stream of its own, so that the plans without transfers stay as they are.
        transfers.start(plan.transferClients(), new SplittableRandom(~plan.seed()));
        Thread phases = SoakThreads.start("server phases", this::playPhases);
        SoakThreads.start("crowds", () -> playCrowds(platform));
        Thread stops = SoakThreads.start("stops", () -> playStops(platform));
        SoakThreads.start("idle clients", () -> playIdleCrowds(platform));
        SoakThreads.start("bursts", () -> playBursts(platform));
        long peakMemoryKb = 0;
        int replacements = 0;
        while (elapsedMs() < plan.lengthMs() + SETTLE_MS && platform.checkAlive(process)) {
            if (elapsedMs() > plan.lengthMs()) {
                transfers.stop();
                ordinary.stop();
            }
            peakMemoryKb = Math.max(peakMemoryKb, SoakPlatform.peakMemoryKb(process));
            boolean due = replacements < plan.replacementsAtMs().size()
                    && elapsedMs() >= plan.replacementsAtMs().get(replacements);
            if (due) {
                replacements++;
                NodeProcess next = platform.start();
                platform.end(process);
                process = next;
            }
            Thread.sleep(SAMPLE_MS);
        }
        phases.join();
        stops.join();
        platform.checkAlive(process);
        String counters = SoakPlatform.call(process, "counters");
        if (peakMemoryKb > MEMORY_MB << 10) {
            ledger.violate("memory", peakMemoryKb + " kB, more than " + MEMORY_MB + " MB");
        }
        return new SoakReport(
                plan.seed(),
                ledger.violations(),
                ledger.ordinaryWaitsMs(),
                ledger.attemptedSendings(),
                servers.stream().mapToInt(SoakServer::connections).sum(),
                peakMemoryKb,
                counters);
    }

    private long elapsedMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    private void sleepUntil(long atMs) throws InterruptedException {
        Thread.sleep(Math.max(0, atMs - elapsedMs()));
    }

    private void playPhases() throws InterruptedException {
        for (ServerPhase phase : plan.phases()) {
            sleepUntil(phase.fromMs());
            for (int i = 0; i < servers.size(); i++) {
                servers.get(i).setMode(phase.modes().get(i));
            }
        }
        sleepUntil(plan.lengthMs());
        servers.forEach(server -> server.setMode(ServerMode.SERVE));
    }

    private void playCrowds(SoakPlatform platform) throws InterruptedException {
        for (int number = 0; number < plan.crowds().size(); number++) {
            Crowd crowd = plan.crowds().get(number);
            sleepUntil(crowd.atMs());
            for (int i = 0; i < crowd.clients(); i++) {
                String name = "crowd" + number + "-" + i;
                CrowdClient client = new CrowdClient(platform, ledger, crowd, name, random.split());
                SoakThreads.start(name, client::run);
            }
        }
    }

    private void playStops(SoakPlatform platform) throws IOException, InterruptedException {
        for (NodeFaults.Stop stop : plan.faults().stops()) {
            sleepUntil(stop.atMs());
            platform.stop(stop.lengthMs());
        }
    }

    private void playIdleCrowds(SoakPlatform platform) throws IOException, InterruptedException {
        List<Socket> idle = new ArrayList<>();
        try {
            for (NodeFaults.Arrivals crowd : plan.faults().idleCrowds()) {
                sleepUntil(crowd.atMs());
                for (int i = 0; i < crowd.clients(); i++) {
                    idle.add(new Socket(InetAddress.getLoopbackAddress(), platform.port()));
                }
            }
            sleepUntil(plan.lengthMs() + SETTLE_MS);
        } finally {
            for (Socket socket : idle) {
                socket.close();
            }
        }
    }

    private void playBursts(SoakPlatform platform) throws InterruptedException {
        for (int number = 0; number < plan.faults().bursts().size(); number++) {
            NodeFaults.Arrivals burst = plan.faults().bursts().get(number);
            sleepUntil(burst.atMs());
            for (int i = 0; i < burst.clients(); i++) {
                String name = "burst" + number + "-" + i;
                RequestKind kind = platform.kind(RequestKind.of(i));
                SoakThreads.start(name, () -> {
                    try (SoakClient client = new SoakClient(platform, ledger, name)) {
                        client.exchange(kind, String.format("%08x%08x", name.hashCode(), 0));
                    }
                });
            }
        }
    }

    /** Returns the configuration of the node, with the names of the platform's page. */
    private String configuration(String discovery) {
        StringBuilder known = new StringBuilder();
        for (SoakServer server : servers) {
            known.append(known.isEmpty() ? "" : ",").append(server.entry("ebene"));
        }
        return "{\"name\":\"n1\",\"listen\":\"127.0.0.1:1\",\"control\":\"127.0.0.1:1\",\"discovery\":\"" + discovery
                + "\",\"seed\":\"" + String.format("%016x", plan.seed()) + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":"
                + MEMORY_MB + ",\"sockets\":" + plan.faults().descriptors()
                + "},\"known\":{\"rev\":1,\"all\":true,\"targets\":[" + known
                + "]},\"settings\":{\"balancers\":1,\"me\":0,\"callers\":{\"marksRetry\":true},\"classes\":["
                + plan.faults().scale(RequestKind.SEARCH).settings() + ","
                + plan.faults().scale(RequestKind.ORDER).settings() + ","
                + plan.faults().scale(RequestKind.REPORT).settings()
                + "],\"countedBy\":\"request\",\"costs\":{\"crossZone\":0.029,\"lateFail\":0.03,\"waste\":0.1},"
                + "\"extra\":{\"warmKeys\":true},\"kinds\":[\"full-core\"],\"layers\":[\"app-servers\"],"
                + "\"limits\":{\"attemptsCap\":4,\"cancelling\":true,\"connIdleUs\":60000000,\"cpuUsPerRequest\":0,"
                + "\"cpuUsPerS\":8000,\"dialTimeoutUs\":200000,\"maxOpen\":20000,\"maxRetryAfterUs\":2000000,"
                + "\"parallelTries\":true,\"peerMessages\":false,\"probes\":false,\"retryAfter\":false,"
                + "\"streamsPerConn\":1},\"membershipMode\":\"pushed\",\"myZone\":\"ebene\",\"quantumUs\":5000,"
                + "\"realms\":[],\"report\":{\"fields\":[\"depth\",\"concurrent\"],\"via\":\"answers\"},"
                + "\"rules\":{\"askWithinUs\":10000000,\"coldFrom\":0.3,\"coldUs\":9000000,\"drainGraceUs\":1000000,"
                + "\"fallUs\":3000000,\"graceToAnswerUs\":20000,\"overloadFactor\":3.0},\"serviceType\":\"proxy\","
                + "\"tier\":0,\"weights\":\"none\",\"zones\":[\"ebene\"]}}";
    }
}
