import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A model replica is drained while it runs streams whose answers end with their connection. The host moves the runs to
 * another replica. Counts the streams that callers got as complete without their last events.
 */
final class MovedStream {
    private static final String KEY = "review-key-1";
    private static final int CALLERS = 12;
    private static final int EVENTS = 40;
    private static final long EVENT_GAP_MS = 150;
    private static final long DEADLINE_MS = 12_000;
    private static final long BEFORE_DRAIN_MS = 2_000;
    private static final Pattern ID = Pattern.compile("\"id\":\"([^\"]+)\"");

    /** A run that a replica executes, until it is moved away. */
    private static final class Run {
        final Replica replica;
        volatile boolean isStopped;
        int lastEvent;

        Run(Replica replica, int lastEvent) {
            this.replica = replica;
            this.lastEvent = lastEvent;
        }
    }

    private static final Map<String, Run> running = new ConcurrentHashMap<>();
    private static final Set<String> handles = ConcurrentHashMap.newKeySet();
    private static final AtomicInteger nextHandle = new AtomicInteger();
    private static final AtomicInteger whole = new AtomicInteger();
    private static final AtomicInteger cutButComplete = new AtomicInteger();
    private static Deployment deployment;
    private static boolean isFramed;

    public static void main(String[] args) {
        Deployment.runCase(() -> run(Path.of(args[0])));
    }

    private static boolean run(Path folder) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        isFramed = "1".equals(System.getenv("FRAMED"));
        Store store = new Store();
        deployment = new Deployment(folder, store, null);
        List<Replica> replicas = new ArrayList<>();
        for (int i = 1; i <= 3; i++) replicas.add(new Replica(store, "i-" + i, "model", "zone-a", 64, 0, MovedStream::serve));
        store.put("keyed.op", "config", "{\"version\":1,\"routes\":[{\"name\":\"r-summary\",\"host\":\"model.example\","
            + "\"path-prefix\":\"/summary/\",\"kind\":\"stream\",\"timeout-ms\":" + DEADLINE_MS + ",\"goal-ms\":1500,\"priority\":1,"
            + "\"service\":\"model\",\"attempts\":1,\"public\":false,\"sticky\":true,\"can-resume\":false,\"gap-target-ms\":300}],"
            + "\"services\":[{\"name\":\"model\",\"health-path\":\"/health\",\"max-conns\":370,\"protocol\":\"h1\",\"tls\":false,"
            + "\"engine\":{\"slots\":64,\"kv-tokens\":616629,\"moves\":true,\"handle-s\":5.0}}],"
            + "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},"
            + "\"tenants\":[{\"name\":\"clinic\",\"api-keys\":[\"" + KEY + "\"]}]}");
        List<Deployment.Daemon> daemons = List.of(deployment.add(1, "zone-a", 2), deployment.add(2, "zone-a", 2));
        for (Deployment.Daemon daemon : daemons) daemon.start();
        deployment.awaitReady();
        Thread.sleep(1_500);
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            int number = i;
            Thread thread = new Thread(() -> call(daemons.get(number % daemons.size()), number));
            thread.start();
            callers.add(thread);
        }
        Thread.sleep(BEFORE_DRAIN_MS);
        Replica busiest = replicas.get(0);
        for (Replica replica : replicas) if (count(replica) > count(busiest)) busiest = replica;
        if (hasTrouble) {
            deployment.note(busiest.id + " reports draining, with " + count(busiest) + " streams running");
            busiest.leave();
        }
        for (Thread caller : callers) caller.join();
        deployment.note("whole streams: " + whole + "; streams that ended as complete before their last event: " + cutButComplete);
        if (whole.get() + cutButComplete.get() == 0) throw new IOException("no stream was answered");
        deployment.note(cutButComplete.get() > 0 ? "ORDER is broken" : "ORDER holds");
        return cutButComplete.get() > 0;
    }

    private static long count(Replica replica) {
        return running.values().stream().filter(run -> run.replica == replica).count();
    }

    private static boolean serve(Replica replica, Http.Message request, Socket socket, OutputStream out) throws IOException {
        if (request.path().equals("/kv-move")) return move(replica, request, out);
        String id = request.header("Request-Id");
        String from = request.header("Kv-From");
        if (from != null && !handles.remove(from.substring(from.indexOf('/') + 1))) {
            Http.respond(out, 503, new byte[0], "Request-Id: " + id, "Not-Executed: 1");
            return true;
        }
        String after = request.header("Last-Event-Id");
        Run run = new Run(replica, after == null ? 0 : Integer.parseInt(after));
        running.put(id, run);
        deployment.note(id + (from == null ? " runs at " : " goes on at ") + replica.id + " after event " + run.lastEvent);
        out.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: " + id + "\r\nResponse-Signature: "
            + replica.signature(request) + "\r\n" + (isFramed ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n")).getBytes(StandardCharsets.ISO_8859_1));
        while (run.lastEvent < EVENTS) {
            synchronized (run) {
                if (run.isStopped) return false;
                String event = "id: " + (run.lastEvent + 1) + "\ndata: token\n\n";
                out.write((isFramed ? Integer.toHexString(event.length()) + "\r\n" + event + "\r\n" : event).getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
                run.lastEvent++;
            }
            Replica.sleep(EVENT_GAP_MS);
        }
        running.remove(id, run);
        if (isFramed) out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        return false;
    }

    /** Stops a run and copies its memory; its stream is closed without its end. */
    private static boolean move(Replica replica, Http.Message request, OutputStream out) throws IOException {
        Matcher matcher = ID.matcher(new String(request.body, StandardCharsets.UTF_8));
        Run run = matcher.find() ? running.get(matcher.group(1)) : null;
        if (run == null || run.replica != replica) {
            Http.respondJson(out, 404, "{}");
            return true;
        }
        int created;
        synchronized (run) {
            run.isStopped = true;
            created = run.lastEvent;
        }
        Replica.sleep(20);
        String handle = "h-" + nextHandle.incrementAndGet();
        handles.add(handle);
        deployment.note(matcher.group(1) + " is stopped at " + replica.id + " after event " + created + " and copied as " + handle);
        Http.respondJson(out, 200, "{\"handle\":\"" + handle + "\",\"created\":" + created + "}");
        return true;
    }

    private static void call(Deployment.Daemon daemon, int caller) {
        String id = "q-" + caller;
        try (Client client = new Client(daemon.callers(), (int) DEADLINE_MS)) {
            Replica.sleep(caller * 60L);
            client.send("POST", "/summary/" + caller, "model.example", "sum up".getBytes(StandardCharsets.UTF_8), "Request-Id: " + id,
                "Deadline-Ms: " + DEADLINE_MS, "Authorization: Bearer " + KEY, "Model: m", "Token-Usage: 2000,120",
                "Prefix-Hash: 5c1e07a2:800," + Integer.toHexString(1000 + caller) + ":1200");
            Http.Message response = client.receive();
            if (response == null) throw new IOException("closed without an answer");
            int events = new String(response.body, StandardCharsets.UTF_8).split("id: ", -1).length - 1;
            boolean isWhole = events == EVENTS;
            if (response.status() == 200) (isWhole ? whole : cutButComplete).incrementAndGet();
            deployment.note(id + " ended as complete: " + response.status() + ", " + events + " of " + EVENTS + " events");
        } catch (IOException e) {
            deployment.note(id + " broken off: " + e.getMessage());
        }
    }
}
