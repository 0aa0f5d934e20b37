import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Both hosts are stopped and started in turn while callers run streams. Counts the streams that a stopping host read
 * later than 3 s after its SIGTERM, passed on, and then cut off by its end.
 */
final class RollingStop {
    private static final String KEY = "review-key-1";
    private static final int CALLERS = 24;
    private static final long BEFORE_MS = 12_000;
    private static final long STOP_GAP_MS = 1_300;
    private static final long GRACE_MS = 8_000;
    private static final long AFTER_MS = 16_000;
    private static final long EXCUSED_MS = 3_000;
    private static final int EVENTS = 50;
    private static final long EVENT_GAP_MS = 150;
    private static final long DEADLINE_MS = 15_000;
    private static final Pattern ADDRESS = Pattern.compile("\"(127[^\"]+:\\d+)\"");

    private static final Map<String, Long> stoppedAt = new ConcurrentHashMap<>();
    private static final AtomicInteger answered = new AtomicInteger();
    private static final AtomicInteger lost = new AtomicInteger();
    private static final List<Replica> replicas = new ArrayList<>();
    private static Deployment deployment;
    private static List<Deployment.Daemon> daemons;
    private static volatile boolean isOver;

    public static void main(String[] args) {
        Deployment.runCase(() -> run(Path.of(args[0])));
    }

    private static boolean run(Path folder) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Store store = new Store();
        deployment = new Deployment(folder, store, null);
        for (int i = 1; i <= 4; i++) {
            replicas.add(new Replica(store, "i-" + i, "model", i % 2 == 0 ? "zone-a" : "zone-b", 64, 0, (replica, request, socket, out) -> {
                replica.runs.add(request.header("Request-Id"));
                return Engine.stream(replica, request, out, EVENTS, 60, EVENT_GAP_MS);
            }));
        }
        store.put("keyed.op", "config", "{\"version\":1,\"routes\":[{\"name\":\"r-question\",\"host\":\"model.example\","
            + "\"path-prefix\":\"/question/\",\"kind\":\"stream\",\"timeout-ms\":" + DEADLINE_MS + ",\"goal-ms\":1200,\"priority\":0,"
            + "\"service\":\"model\",\"attempts\":2,\"public\":false,\"sticky\":true,\"can-resume\":true,\"gap-target-ms\":200}],"
            + "\"services\":[{\"name\":\"model\",\"health-path\":\"/health\",\"max-conns\":370,\"protocol\":\"h1\",\"tls\":false,"
            + "\"engine\":{\"slots\":64,\"kv-tokens\":616629}}],"
            + "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},"
            + "\"tenants\":[{\"name\":\"clinic\",\"api-keys\":[\"" + KEY + "\"]}]}");
        daemons = List.of(deployment.add(1, "zone-a", 2), deployment.add(2, "zone-b", 2));
        for (Deployment.Daemon daemon : daemons) daemon.start();
        deployment.awaitReady();
        Thread.sleep(1_500);
        for (int i = 0; i < CALLERS; i++) {
            int number = i;
            Thread thread = new Thread(() -> call(number));
            thread.setDaemon(true);
            thread.start();
        }
        Thread.sleep(BEFORE_MS);
        if (answered.get() < CALLERS) throw new IOException("too few answers before");
        for (Deployment.Daemon daemon : daemons) {
            if (hasTrouble) {
                stoppedAt.put(daemon.callers(), deployment.nowMs());
                deployment.note("SIGTERM to " + daemon.name);
                daemon.signal("TERM");
                Thread restart = new Thread(() -> restart(daemon));
                restart.setDaemon(true);
                restart.start();
            }
            Thread.sleep(STOP_GAP_MS);
        }
        Thread.sleep(AFTER_MS);
        isOver = true;
        deployment.note("complete answers: " + answered + "; cut off although sent over " + EXCUSED_MS + " ms after the SIGTERM and passed on: " + lost);
        deployment.note(lost.get() > 0 ? "LOST is broken" : "LOST holds");
        return lost.get() > 0;
    }

    /** Starts a stopped process again when it has ended; kills it first after the grace period. */
    private static void restart(Deployment.Daemon daemon) {
        try {
            if (!daemon.process.waitFor(GRACE_MS, java.util.concurrent.TimeUnit.MILLISECONDS)) {
                deployment.note("SIGKILL to " + daemon.name);
                daemon.process.destroyForcibly().waitFor();
            }
            deployment.note(daemon.name + " has ended with status " + daemon.process.exitValue());
            Thread.sleep(400);
            daemon.start();
        } catch (InterruptedException | IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** A caller that keeps its connections and each answer of the directory as the pages say. */
    private static void call(int caller) {
        Random random = new Random(caller);
        // Some callers keep an answer three times as long.
        long keptFactor = caller % 4 == 0 ? 3 : 1;
        Map<String, Client> kept = new HashMap<>();
        List<String> addresses = new ArrayList<>();
        long validUntilMs = 0;
        Replica.sleep(random.nextInt(4_000));
        for (int sequence = 0; !isOver; sequence++) {
            if (deployment.nowMs() >= validUntilMs) {
                List<String> fresh = resolve();
                if (!fresh.isEmpty()) {
                    addresses = fresh;
                    validUntilMs = deployment.nowMs() + 1_000 * keptFactor;
                    List<String> listed = fresh;
                    kept.entrySet().removeIf(entry -> !listed.contains(entry.getKey()) && closeQuietly(entry.getValue()));
                }
            }
            if (!addresses.isEmpty()) {
                String address = addresses.get(random.nextInt(addresses.size()));
                if (!send(caller, sequence, address, kept)) {
                    List<String> others = new ArrayList<>(addresses);
                    others.remove(address);
                    if (!others.isEmpty()) send(caller, sequence, others.get(0), kept);
                }
            }
            Replica.sleep(200 + random.nextInt(1_500));
        }
    }

    /** Asks the hosts in turn where to connect. */
    private static List<String> resolve() {
        for (Deployment.Daemon daemon : daemons) {
            try (Client client = new Client(daemon.directory(), 1_000)) {
                client.send("GET", "/resolve?name=model.example&region=r&zone=zone-a", "directory.example", new byte[0]);
                Http.Message response = client.receive();
                List<String> found = new ArrayList<>();
                Matcher matcher = ADDRESS.matcher(response == null ? "" : new String(response.body, StandardCharsets.UTF_8));
                while (matcher.find()) found.add(matcher.group(1));
                if (!found.isEmpty()) return found;
            } catch (IOException e) {
                // The next host is asked.
            }
        }
        return List.of();
    }

    /** Sends one request; returns false if it was not sent or got no complete answer. */
    private static boolean send(int caller, int sequence, String address, Map<String, Client> kept) {
        String id = "q-" + caller + "-" + sequence + "-" + address.substring(0, address.indexOf(':'));
        long sentAt = deployment.nowMs();
        Client client = kept.remove(address);
        boolean isKept = client != null;
        try {
            if (client == null) client = new Client(address, (int) DEADLINE_MS);
            client.send("POST", "/question/" + sequence, "model.example", "how".getBytes(StandardCharsets.UTF_8), "Request-Id: " + id,
                "Deadline-Ms: " + DEADLINE_MS, "Authorization: Bearer " + KEY, "Model: m", "Token-Usage: 1460,150", "Prefix-Hash: 5c1e07a2:800,91bd3f06:410");
            Http.Message response = client.receive();
            if (response == null) throw new IOException("closed without an answer");
            deployment.note(id + " sent at " + sentAt + " ms: " + response.status() + ", " + response.body.length + " bytes");
            if (response.status() == 200) answered.incrementAndGet();
            if ("close".equalsIgnoreCase(response.header("Connection"))) {
                client.close();
            } else {
                kept.put(address, client);
            }
            return response.status() == 200;
        } catch (IOException e) {
            if (client != null) closeQuietly(client);
            boolean wasPassedOn = replicas.stream().anyMatch(replica -> replica.runs.contains(id));
            Long stopped = stoppedAt.get(address);
            boolean isLost = wasPassedOn && stopped != null && sentAt - stopped > EXCUSED_MS && sentAt - stopped <= GRACE_MS + 1_000;
            if (isLost) lost.incrementAndGet();
            deployment.note(id + " sent at " + sentAt + " ms" + (isKept ? " on a kept connection" : "") + " failed: " + e.getMessage()
                + (wasPassedOn ? "; it was run" : "") + (isLost ? "; LOST, sent " + (sentAt - stopped) + " ms after the SIGTERM" : ""));
            return false;
        }
    }

    private static boolean closeQuietly(Client client) {
        try {
            client.close();
        } catch (IOException e) {
            return true;
        }
        return true;
    }
}
