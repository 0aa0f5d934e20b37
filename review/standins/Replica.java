import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A sound replica: registers itself in the store, runs requests and records them. */
class Replica {
    private static final long HEARTBEAT_MS = 1_200;

    /** Runs one request and writes the response; returns whether the connection stays open. */
    interface Work {
        boolean run(Replica replica, Http.Message request, Socket socket, OutputStream out) throws IOException;
    }

    final String id;
    final String service;
    final String zone;
    final int slots;
    final Set<String> runs = ConcurrentHashMap.newKeySet();
    private final Store store;
    private final Work work;
    private final Set<Socket> sockets = new HashSet<>();
    private final long bornMs = System.currentTimeMillis();
    private final ServerSocket listener;
    private volatile boolean isUp = true;
    private volatile String state = "ready";
    private int sequence;

    Replica(Store store, String id, String service, String zone, int slots, int port, Work work) throws IOException {
        this.store = store;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.work = work;
        listener = Http.serve("127.0.0.1", port, this::handle);
        beat();
        Thread thread = new Thread(this::beatWhileUp, "heartbeat");
        thread.setDaemon(true);
        thread.start();
    }

    int port() {
        return listener.getLocalPort();
    }

    String address() {
        return "127.0.0.1:" + port();
    }

    /** Crashes: the listener and all connections are gone. The entry lapses after three heartbeats of silence. */
    void crash() throws IOException {
        isUp = false;
        listener.close();
        List<Socket> open;
        synchronized (sockets) {
            open = new ArrayList<>(sockets);
        }
        for (Socket socket : open) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
        Thread thread = new Thread(() -> {
            try {
                Thread.sleep(3 * HEARTBEAT_MS);
            } catch (InterruptedException e) {
                return;
            }
            store.put("keyed.servers", id, null);
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Reports that the replica is draining; it serves on. */
    void leave() {
        state = "draining";
        beat();
    }

    /** The signature of the answer to a request. */
    String signature(Http.Message request) {
        return "sig." + id + "." + request.header("Request-Id");
    }

    /** Answers a request with a whole body. */
    boolean answer(Http.Message request, OutputStream out, String body) throws IOException {
        Http.respond(out, 200, body.getBytes(StandardCharsets.UTF_8), "Request-Id: " + request.header("Request-Id"),
            "Response-Signature: " + signature(request), "Keep-Alive: timeout=5");
        return true;
    }

    private boolean handle(Http.Message request, Socket socket, OutputStream out) throws IOException {
        synchronized (sockets) {
            sockets.add(socket);
        }
        if (!isUp) return false;
        String expected = request.header("Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            Http.respond(out, 421, new byte[0], "Request-Id: " + request.header("Request-Id"), "Instance-Id: " + id, "Not-Executed: 1");
            return true;
        }
        if (request.path().equals("/health")) {
            Http.respond(out, 200, new byte[0], "Instance-Id: " + id);
            return true;
        }
        return work.run(this, request, socket, out);
    }

    private void beatWhileUp() {
        try {
            while (isUp) {
                Thread.sleep(HEARTBEAT_MS);
                if (isUp) beat();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void beat() {
        store.put("keyed.servers", id, "{\"service\":\"" + service + "\",\"addr\":\"" + address() + "\",\"zone\":\"" + zone
            + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state + "\",\"cold-left-ms\":0,\"born\":" + bornMs
            + ",\"seq\":" + (++sequence) + "}");
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
