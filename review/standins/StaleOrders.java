import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Two hosts compete for the duties while the platform's API answers slowly. Looks for orders that the platform accepted
 * from the holders A, B, A within the lease, at times when both hosts were in touch.
 */
final class StaleOrders {
    private static final long LEASE_MS = 3_000;
    private static final long CONTACT_MS = 3_000;
    private static final long ANSWER_MS = 10;
    private static final int SLOW_FACTOR = 50;
    private static final long SLOW_MS = 5_500;
    private static final long USAGE_WINDOW_MS = 5_000;
    private static final long START_PHASE_MS = 1_500;
    private static final long LENGTH_MS = 14_000;
    private static final Pattern FIELD = Pattern.compile("\"(service|zone)\":\"([^\"]*)\"");

    private record Call(long atMs, String holder, long token, String subject) {}

    private static final List<Call> accepted = new ArrayList<>();
    private static final Map<String, Long> newestToken = new HashMap<>();
    private static Deployment deployment;
    private static long slowFromMs = -1;
    private static boolean hasTrouble;

    public static void main(String[] args) {
        Deployment.runCase(() -> run(Path.of(args[0])));
    }

    private static boolean run(Path folder) throws Exception {
        hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Store store = new Store();
        var api = Http.serve("127.0.0.1", 0, StaleOrders::serve);
        deployment = new Deployment(folder, store, "127.0.0.1:" + api.getLocalPort());
        String scaled = "\"engine\":{\"slots\":64,\"kv-tokens\":616629,\"moves\":true},\"autoscale\":{\"min\":1,\"max\":7,"
            + "\"boot-delay-s\":20.0,\"spot-price\":0.18,\"zone-prices\":{\"zone-a\":1.0,\"zone-b\":0.8,\"zone-c\":1.25,\"zone-d\":0.9}}}";
        store.put("keyed.op", "config", "{\"version\":1,\"routes\":["
            + "{\"name\":\"r-1\",\"host\":\"model.example\",\"path-prefix\":\"/report/\",\"kind\":\"stream\",\"timeout-ms\":12000,"
            + "\"goal-ms\":2000,\"priority\":2,\"service\":\"report-model\",\"attempts\":2,\"can-resume\":true,\"gap-target-ms\":800},"
            + "{\"name\":\"r-2\",\"host\":\"model.example\",\"path-prefix\":\"/answer/\",\"kind\":\"stream\",\"timeout-ms\":15000,"
            + "\"goal-ms\":1200,\"priority\":0,\"service\":\"answer-model\",\"attempts\":2,\"can-resume\":true,\"gap-target-ms\":200}],"
            + "\"services\":[{\"name\":\"report-model\",\"health-path\":\"/health\",\"max-conns\":370," + scaled
            + ",{\"name\":\"answer-model\",\"health-path\":\"/health\",\"max-conns\":370," + scaled
            + ",{\"name\":\"summary-model\",\"health-path\":\"/health\",\"max-conns\":370," + scaled + "],"
            + "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},"
            + "\"tenants\":[{\"name\":\"clinic\",\"api-keys\":[\"review-key-1\"]}]}");
        List<Deployment.Daemon> daemons = List.of(deployment.add(1, "zone-a", 2), deployment.add(2, "zone-b", 2));
        // Fewest windows are due when the second holder takes over, so that it is soon done with its usage reports.
        Thread.sleep(Math.floorMod(START_PHASE_MS - System.currentTimeMillis(), USAGE_WINDOW_MS));
        for (Deployment.Daemon daemon : daemons) daemon.start();
        long startedMs = deployment.nowMs();
        Thread.sleep(LENGTH_MS);
        if (accepted.isEmpty()) throw new IOException("no call of a duty arrived");
        return isBroken(startedMs + CONTACT_MS);
    }

    private static boolean isBroken(long inTouchMs) {
        List<Call> orders;
        synchronized (accepted) {
            orders = accepted.stream().filter(call -> call.subject.startsWith("/scale") && call.atMs >= inTouchMs).toList();
        }
        for (Call first : orders) {
            for (Call other : orders) {
                for (Call last : orders) {
                    boolean isInOrder = first.atMs <= other.atMs && other.atMs <= last.atMs && last.atMs - first.atMs <= LEASE_MS;
                    if (isInOrder && first.holder.equals(last.holder) && !first.holder.equals(other.holder)) {
                        deployment.note("A, B, A within " + (last.atMs - first.atMs) + " ms: " + first + ", " + other + ", " + last);
                        deployment.note("ONE is broken");
                        return true;
                    }
                }
            }
        }
        deployment.note("ONE holds");
        return false;
    }

    private static boolean serve(Http.Message request, Socket socket, OutputStream out) throws IOException {
        String body = new String(request.body);
        StringBuilder subject = new StringBuilder(request.path());
        Matcher matcher = FIELD.matcher(body);
        while (matcher.find()) subject.append(' ').append(matcher.group(2));
        long token = Long.parseLong(request.header("Fence-Token"));
        int status;
        long answerMs;
        synchronized (accepted) {
            long now = deployment.nowMs();
            if (slowFromMs < 0 && hasTrouble && request.path().equals("/scale")) {
                slowFromMs = now;
                deployment.note("the API answers " + SLOW_FACTOR + " times as slowly for " + SLOW_MS + " ms");
            }
            boolean isStale = token < newestToken.getOrDefault(subject.toString(), 0L);
            status = isStale ? 409 : 200;
            if (!isStale) {
                newestToken.put(subject.toString(), token);
                accepted.add(new Call(now, request.header("Duty-Holder"), token, subject.toString()));
            }
            boolean isSlow = slowFromMs >= 0 && now - slowFromMs < SLOW_MS;
            answerMs = isSlow ? ANSWER_MS * SLOW_FACTOR : ANSWER_MS;
            deployment.note("POST " + request.path() + " of " + request.header("Duty-Holder") + " with token " + token + ": " + body + " -> " + status);
        }
        Replica.sleep(answerMs);
        Http.respondJson(out, status, "{}");
        return true;
    }
}
