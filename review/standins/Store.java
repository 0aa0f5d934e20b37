import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The platform's metadata store: keyed topics of one partition, conditional appends and reads that wait. */
final class Store {
    private final Map<String, List<byte[]>> topics = new HashMap<>();
    final ServerSocket listener;

    Store() throws IOException {
        listener = Http.serve("127.0.0.1", 0, this::handle);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Writes the record of a key, as the operator and the replicas do; null deletes the key. */
    void put(String topic, String key, String value) {
        putBytes(topic, key, value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8));
    }

    /** Writes a record whose value may be no text. */
    void putBytes(String topic, String key, byte[] content) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        ByteBuffer buffer = ByteBuffer.allocate(1 + name.length + content.length);
        append(topic, List.of(buffer.put((byte) name.length).put(name).put(content).array()), null);
    }

    private synchronized long append(String topic, List<byte[]> records, Long at) {
        List<byte[]> log = topics.computeIfAbsent(topic, t -> new ArrayList<>());
        if (at != null && at != log.size()) return -1 - log.size();
        long offset = log.size();
        log.addAll(records);
        notifyAll();
        return offset;
    }

    private boolean handle(Http.Message request, Socket socket, OutputStream out) throws IOException {
        Map<String, String> query = request.query();
        String topic = query.get("topic");
        switch (request.path()) {
            case "/log-append" -> {
                List<byte[]> records = new ArrayList<>();
                ByteBuffer body = ByteBuffer.wrap(request.body);
                while (body.hasRemaining()) {
                    byte[] record = new byte[body.getInt()];
                    body.get(record);
                    records.add(record);
                }
                String at = query.get("at");
                long offset = append(topic, records, at == null ? null : Long.valueOf(at));
                if (offset < 0) {
                    Http.respondJson(out, 412, "{\"end\":" + (-1 - offset) + "}");
                } else {
                    Http.respondJson(out, 200, "{\"offset\":" + offset + ",\"end\":" + (offset + records.size()) + "}");
                }
            }
            case "/log-read" -> {
                int from = Integer.parseInt(query.get("from"));
                Http.respond(out, 200, read(topic, from, Long.parseLong(query.getOrDefault("wait-ms", "0"))));
            }
            case "/log-newest" -> Http.respondJson(out, 200, newest(topic));
            default -> Http.respondJson(out, 404, "{}");
        }
        return true;
    }

    private synchronized byte[] read(String topic, int from, long waitMs) throws IOException {
        List<byte[]> log = topics.computeIfAbsent(topic, t -> new ArrayList<>());
        long end = System.nanoTime() + waitMs * 1_000_000;
        while (log.size() <= from) {
            long leftMs = (end - System.nanoTime()) / 1_000_000;
            if (leftMs <= 0) break;
            try {
                wait(leftMs);
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write(ByteBuffer.allocate(16).putLong(log.size()).putLong(0).array());
        for (int i = from; i < log.size(); i++) {
            out.write(ByteBuffer.allocate(4).putInt(log.get(i).length).array());
            out.write(log.get(i));
        }
        return out.toByteArray();
    }

    private synchronized String newest(String topic) {
        List<byte[]> log = topics.computeIfAbsent(topic, t -> new ArrayList<>());
        Map<String, String> items = new LinkedHashMap<>();
        for (int offset = 0; offset < log.size(); offset++) {
            byte[] record = log.get(offset);
            String key = new String(record, 1, record[0], StandardCharsets.UTF_8);
            byte[] value = java.util.Arrays.copyOfRange(record, 1 + record[0], record.length);
            items.remove(key);
            if (value.length > 0) {
                String text = Base64.getEncoder().encodeToString(value);
                items.put(key, "{\"key\":\"" + key + "\",\"value\":\"" + text + "\",\"offset\":" + offset + "}");
            }
        }
        return "{\"items\":[" + String.join(",", items.values()) + "],\"more\":false,\"end\":" + log.size() + "}";
    }
}
