import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Answers of a model engine: streams of events in chunks. */
final class Engine {
    private Engine() {}

    /** Streams events after `Last-Event-Id`, the first one after a delay. Ends the run if the connection closes. */
    static boolean stream(Replica replica, Http.Message request, OutputStream out, int events, long firstMs, long gapMs) throws IOException {
        Replica.sleep(firstMs);
        String after = request.header("Last-Event-Id");
        out.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: " + request.header("Request-Id")
            + "\r\nResponse-Signature: " + replica.signature(request)
            + "\r\nTransfer-Encoding: chunked\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
        for (int event = after == null ? 1 : Integer.parseInt(after) + 1; event <= events; event++) {
            byte[] bytes = ("id: " + event + "\ndata: token " + event + "\n\n").getBytes(StandardCharsets.UTF_8);
            out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            out.write(bytes);
            out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            if (event < events) Replica.sleep(gapMs);
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
        return true;
    }
}
