import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Another writer puts an entry into the list of servers whose bytes cannot be read. Callers keep connections to both
 * hosts. Counts the requests from kept connections that were passed on to a sound replica and got no answer.
 */
final class UnreadableEntry {
    private static final String KEY = "review-key-1";
    private static final long BEFORE_MS = 4_000;
    private static final long AFTER_MS = 20_000;
    private static final int CALLERS_PER_HOST = 10;
    private static final long WORK_MS = 150;

    /** A binary record that begins with its length, 16 bytes, in four bytes. */
    private static final byte[] ENTRY = {0, 0, 0, 16, 'n', 'o', 'd', 'e', '-', '7', 0, 1, 0, 2, 0, 3, 0, 4, 0, 5};

    private static final AtomicInteger lost = new AtomicInteger();
    private static final AtomicInteger answered = new AtomicInteger();
    private static final AtomicInteger answeredLate = new AtomicInteger();
    private static volatile boolean isOver;
    private static volatile boolean isAfter;

    public static void main(String[] args) {
        Deployment.runCase(() -> run(Path.of(args[0])));
    }

    private static boolean run(Path folder) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Store store = new Store();
        Deployment deployment = new Deployment(folder, store, null);
        List<Replica> replicas = new ArrayList<>();
        for (int i = 1; i <= 4; i++) {
            replicas.add(new Replica(store, "i-" + i, "ledger", i % 2 == 0 ? "zone-a" : "zone-b", 6, 0, (replica, request, socket, out) -> {
                replica.runs.add(request.header("Request-Id"));
                Replica.sleep(WORK_MS);
                return replica.answer(request, out, "looked up");
            }));
        }
        store.put("keyed.op", "config", "{\"version\":1,\"routes\":[{\"name\":\"r-lookup\",\"host\":\"ledger.example\","
            + "\"path-prefix\":\"/lookup/\",\"kind\":\"idempotent\",\"timeout-ms\":2500,\"goal-ms\":400,\"priority\":2,"
            + "\"service\":\"ledger\",\"attempts\":2,\"public\":false}],"
            + "\"services\":[{\"name\":\"ledger\",\"health-path\":\"/health\",\"max-conns\":110,\"protocol\":\"h1\",\"tls\":false}],"
            + "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},"
            + "\"tenants\":[{\"name\":\"clinic\",\"api-keys\":[\"" + KEY + "\"]}]}");
        List<Deployment.Daemon> daemons = List.of(deployment.add(1, "zone-a", 2), deployment.add(2, "zone-b", 2));
        for (Deployment.Daemon daemon : daemons) daemon.start();
        deployment.awaitReady();
        Thread.sleep(1_500);
        int[] exits = new int[daemons.size()];
        List<Thread> threads = new ArrayList<>();
        for (Deployment.Daemon daemon : daemons) {
            for (int i = 0; i < CALLERS_PER_HOST; i++) {
                int number = i;
                Thread thread = new Thread(() -> call(deployment, daemon, number, replicas));
                thread.setDaemon(true);
                thread.start();
                threads.add(thread);
            }
        }
        Thread.sleep(BEFORE_MS);
        int before = answered.get();
        if (hasTrouble) {
            store.putBytes("keyed.servers", "node-7", ENTRY);
            deployment.note("another writer puts an unreadable entry of " + ENTRY.length + " bytes under servers/node-7");
        }
        isAfter = true;
        long end = deployment.nowMs() + AFTER_MS;
        while (deployment.nowMs() < end) {
            Thread.sleep(100);
            for (int i = 0; i < exits.length; i++) {
                Deployment.Daemon daemon = daemons.get(i);
                if (daemon.process.isAlive()) continue;
                exits[i]++;
                deployment.note(daemon.name + " ended by itself with status " + daemon.process.exitValue());
                Thread.sleep(400);
                daemon.start();
            }
        }
        isOver = true;
        Thread.sleep(1_000);
        deployment.note("answered " + before + " in the " + BEFORE_MS + " ms before, " + answeredLate + " in the " + AFTER_MS + " ms after");
        deployment.note("passed on from a kept connection and closed without an answer: " + lost);
        deployment.note("ends of processes by themselves: " + exits[0] + " and " + exits[1]);
        if (before < 50) throw new IOException("too few answers before");
        boolean isBroken = lost.get() > 3;
        deployment.note(isBroken ? "LOST is broken" : "LOST holds");
        return isBroken;
    }

    /** Sends requests one after the other on a kept connection, and connects again after a failure. */
    private static void call(Deployment deployment, Deployment.Daemon daemon, int caller, List<Replica> replicas) {
        int sequence = 0;
        while (!isOver) {
            int answeredHere = 0;
            String id = null;
            try (Client client = new Client(daemon.callers(), 5_000)) {
                while (!isOver) {
                    id = daemon.name + "-" + caller + "-" + sequence++;
                    client.send("GET", "/lookup/" + sequence, "ledger.example", new byte[0], "Request-Id: " + id,
                        "Deadline-Ms: 2500", "Authorization: Bearer " + KEY);
                    Http.Message response = client.receive();
                    if (response == null) throw new IOException("closed without an answer");
                    deployment.note(id + " answered " + response.status());
                    if (response.status() == 200) {
                        answered.incrementAndGet();
                        if (isAfter) answeredLate.incrementAndGet();
                    }
                    answeredHere++;
                    if ("close".equalsIgnoreCase(response.header("Connection"))) break;
                }
            } catch (IOException e) {
                String sent = id;
                boolean wasPassedOn = sent != null && replicas.stream().anyMatch(replica -> replica.runs.contains(sent));
                if (wasPassedOn && answeredHere > 0) lost.incrementAndGet();
                deployment.note(id + " failed: " + e.getMessage() + (wasPassedOn ? "; it was run" : ""));
                Replica.sleep(200);
            }
        }
    }
}
