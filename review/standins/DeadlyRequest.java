import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A request crashes each replica that begins to run it, and its caller sends it again at any host. All replicas of the
 * service are in one failure domain. Counts the arrivals later than `contact-ms` after the third crash.
 */
final class DeadlyRequest {
    private static final String KEY = "review-key-1";
    private static final long CONTACT_MS = 3_000;
    private static final long BACK_MS = 3_000;
    private static final int REPLICAS = 8;
    private static final long REPEAT_MS = 200;
    private static final long LENGTH_MS = 15_000;
    private static final String DEADLY = "deposit 4711";
    private static final int SOUND_CALLERS = 6;
    private static final long WORK_MS = 120;

    private static final List<Long> arrivals = new ArrayList<>();
    private static final AtomicInteger starts = new AtomicInteger();
    private static final List<Long> soundLosses = new ArrayList<>();
    private static final AtomicInteger soundAnswers = new AtomicInteger();
    private static final List<Replica> replicas = new ArrayList<>();
    private static volatile boolean isOver;
    private static Deployment deployment;
    private static Store store;

    public static void main(String[] args) {
        Deployment.runCase(() -> run(Path.of(args[0])));
    }

    private static boolean run(Path folder) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        store = new Store();
        deployment = new Deployment(folder, store, null);
        for (int i = 0; i < REPLICAS; i++) startReplica();
        store.put("keyed.op", "config", "{\"version\":1,\"routes\":[{\"name\":\"r-refund\",\"host\":\"ledger.example\","
            + "\"path-prefix\":\"/refund/\",\"kind\":\"non_idempotent\",\"timeout-ms\":1000,\"goal-ms\":200,\"priority\":2,"
            + "\"service\":\"ledger\",\"attempts\":1,\"public\":false}],"
            + "\"services\":[{\"name\":\"ledger\",\"health-path\":\"/health\",\"max-conns\":110,\"protocol\":\"h1\",\"tls\":false}],"
            + "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},"
            + "\"tenants\":[{\"name\":\"clinic\",\"api-keys\":[\"" + KEY + "\"]}]}");
        List<Deployment.Daemon> daemons = List.of(deployment.add(1, "zone-a", 2), deployment.add(2, "zone-a", 2));
        for (Deployment.Daemon daemon : daemons) daemon.start();
        deployment.awaitReady();
        Thread.sleep(CONTACT_MS + 1_500);
        for (int i = 0; i < SOUND_CALLERS; i++) {
            int number = i;
            Thread thread = new Thread(() -> sendSound(daemons.get(number % daemons.size()), number));
            thread.setDaemon(true);
            thread.start();
        }
        Thread.sleep(1_000);
        long end = deployment.nowMs() + LENGTH_MS;
        for (int sequence = 0; deployment.nowMs() < end; sequence++) {
            send(daemons.get(sequence % daemons.size()), sequence, hasTrouble ? DEADLY : "deposit " + sequence);
            Thread.sleep(REPEAT_MS);
        }
        isOver = true;
        Thread.sleep(1_500);
        deployment.note("sound requests answered: " + soundAnswers);
        if (soundAnswers.get() == 0) throw new IOException("no sound request was answered");
        return hasTrouble ? isBroken() : !holds("no request crashed a replica");
    }

    private static boolean isBroken() throws IOException {
        synchronized (arrivals) {
            if (arrivals.size() < 3) throw new IOException("fewer than three crashes");
            long boundMs = arrivals.get(2) + CONTACT_MS;
            long late = arrivals.stream().filter(at -> at > boundMs).count();
            deployment.note("third crash at " + arrivals.get(2) + " ms; arrivals in all: " + arrivals.size() + "; later than contact-ms after the third crash: " + late);
            synchronized (soundLosses) {
                deployment.note("sound requests lost on a replica while it was crashed: " + soundLosses.size() + ", later than that: "
                    + soundLosses.stream().filter(at -> at > boundMs).count());
            }
            if (late <= 3) return !holds("");
            deployment.note("BUDGET is broken");
            return true;
        }
    }

    private static boolean holds(String why) {
        deployment.note("BUDGET holds " + why);
        return true;
    }

    /** Sends sound requests that may not run twice, one after the other. */
    private static void sendSound(Deployment.Daemon daemon, int caller) {
        for (int sequence = 0; !isOver; sequence++) {
            String id = "s-" + caller + "-" + sequence;
            String result;
            try (Client client = new Client(daemon.callers(), 3_000)) {
                client.send("POST", "/refund/" + id, "ledger.example", ("deposit " + id).getBytes(StandardCharsets.UTF_8), "Request-Id: " + id,
                    "Deadline-Ms: 1000", "Authorization: Bearer " + KEY);
                Http.Message response = client.receive();
                result = response == null ? "closed" : Integer.toString(response.status());
            } catch (IOException e) {
                result = e.getMessage();
            }
            if (result.equals("200")) {
                soundAnswers.incrementAndGet();
            } else if (wasRun(id)) {
                synchronized (soundLosses) {
                    soundLosses.add(deployment.nowMs());
                }
                deployment.note(id + " was running at a replica, and its caller got " + result);
            }
            Replica.sleep(50);
        }
    }

    private static boolean wasRun(String id) {
        synchronized (replicas) {
            return replicas.stream().anyMatch(replica -> replica.runs.contains(id));
        }
    }

    private static void startReplica() throws IOException {
        String id = "i-" + starts.incrementAndGet();
        Replica started = new Replica(store, id, "ledger", "zone-a", 6, 0, (replica, request, socket, out) -> {
            if (!new String(request.body, StandardCharsets.UTF_8).equals(DEADLY)) {
                replica.runs.add(request.header("Request-Id"));
                Replica.sleep(WORK_MS);
                return replica.answer(request, out, "released");
            }
            synchronized (arrivals) {
                arrivals.add(deployment.nowMs());
            }
            deployment.note(request.header("Request-Id") + " reaches " + id + " and crashes it");
            replica.crash();
            Thread restart = new Thread(() -> {
                Replica.sleep(BACK_MS);
                try {
                    startReplica();
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
            });
            restart.setDaemon(true);
            restart.start();
            return false;
        });
        synchronized (replicas) {
            replicas.add(started);
        }
    }

    private static void send(Deployment.Daemon daemon, int sequence, String body) {
        String id = "q-" + sequence;
        try (Client client = new Client(daemon.callers(), 3_000)) {
            client.send("POST", "/refund/4711", "ledger.example", body.getBytes(StandardCharsets.UTF_8), "Request-Id: " + id,
                "Deadline-Ms: 1000", "Authorization: Bearer " + KEY);
            Http.Message response = client.receive();
            deployment.note(id + " at " + daemon.name + ": " + (response == null ? "closed" : response.status()));
        } catch (IOException e) {
            deployment.note(id + " at " + daemon.name + ": " + e.getMessage());
        }
    }
}
