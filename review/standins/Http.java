import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/** A small HTTP/1.1 server and message reader for the stand-ins. One thread serves one connection. */
final class Http {
    private Http() {}

    /** A message: a request or a response. Names of header fields ignore case. */
    static final class Message {
        String startLine = "";
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        String method() {
            return startLine.split(" ")[0];
        }

        String target() {
            return startLine.split(" ")[1];
        }

        String path() {
            String target = target();
            int query = target.indexOf('?');
            return query < 0 ? target : target.substring(0, query);
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String header(String name) {
            return headers.get(name);
        }

        Map<String, String> query() {
            Map<String, String> values = new LinkedHashMap<>();
            int at = target().indexOf('?');
            if (at < 0) return values;
            for (String pair : target().substring(at + 1).split("&")) {
                int equals = pair.indexOf('=');
                if (equals > 0) {
                    values.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
                }
            }
            return values;
        }
    }

    /** Serves one request on a connection; returns whether the connection stays open. */
    interface Handler {
        boolean handle(Message request, Socket socket, OutputStream out) throws IOException;
    }

    /** Starts a server on a free port of the given loopback address. */
    static ServerSocket serve(String ip, int port, Handler handler) throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 512);
        Thread thread = new Thread(() -> accept(listener, handler), "accept");
        thread.setDaemon(true);
        thread.start();
        return listener;
    }

    private static void accept(ServerSocket listener, Handler handler) {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                Thread thread = new Thread(() -> run(socket, handler), "connection");
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private static void run(Socket socket, Handler handler) {
        try (socket) {
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                Message request = read(in, true);
                if (request == null || !handler.handle(request, socket, out)) return;
            }
        } catch (IOException e) {
            // The peer has closed the connection.
        }
    }

    /** Reads a message; null if the connection ended before it. */
    static Message read(InputStream in, boolean isRequest) throws IOException {
        Message message = readHead(in);
        if (message == null) return null;
        String length = message.header("Content-Length");
        if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
            message.body = readChunks(in);
        } else if (length != null) {
            message.body = in.readNBytes(Integer.parseInt(length.trim()));
            if (message.body.length < Integer.parseInt(length.trim())) throw new IOException("body cut short");
        } else if (!isRequest) {
            message.body = in.readAllBytes();
        }
        return message;
    }

    /** Reads the head of a message; null if the connection ended before it. */
    static Message readHead(InputStream in) throws IOException {
        Message message = new Message();
        String line = readLine(in);
        if (line == null) return null;
        message.startLine = line;
        while (!(line = readLine(in)).isEmpty()) {
            int colon = line.indexOf(':');
            if (colon > 0) message.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
        return message;
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String line = readLine(in);
            if (line == null) throw new IOException("chunked body cut short");
            int size = Integer.parseInt(line.split(";")[0].trim(), 16);
            byte[] chunk = in.readNBytes(size);
            if (chunk.length < size) throw new IOException("chunk cut short");
            body.write(chunk);
            if (readLine(in) == null) throw new IOException("chunk cut short");
            if (size == 0) return body.toByteArray();
        }
    }

    /** Reads a line; null at the end of the stream. */
    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int value;
        while ((value = in.read()) != '\n') {
            if (value < 0) {
                if (line.size() == 0) return null;
                throw new IOException("line cut short");
            }
            if (value != '\r') line.write(value);
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Sends a response with a length. */
    static void respond(OutputStream out, int status, byte[] body, String... headers) throws IOException {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " -\r\n");
        for (String header : headers) head.append(header).append("\r\n");
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream message = new ByteArrayOutputStream();
        message.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        message.write(body);
        out.write(message.toByteArray());
        out.flush();
    }

    static void respondJson(OutputStream out, int status, String json) throws IOException {
        respond(out, status, json.getBytes(StandardCharsets.UTF_8), "Content-Type: application/json");
    }
}
