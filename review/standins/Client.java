import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A caller: sends one request at a time on a connection. */
final class Client implements AutoCloseable {
    final Socket socket = new Socket();
    private final InputStream in;

    Client(String address, int timeoutMs) throws IOException {
        int colon = address.lastIndexOf(':');
        socket.connect(new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))), 1000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(timeoutMs);
        in = new java.io.BufferedInputStream(socket.getInputStream());
    }

    void send(String method, String path, String host, byte[] body, String... headers) throws IOException {
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n");
        for (String header : headers) head.append(header).append("\r\n");
        if (body.length > 0 || method.equals("POST")) head.append("Content-Length: ").append(body.length).append("\r\n");
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        socket.getOutputStream().write(out.toByteArray());
    }

    /** Receives a response; null if the connection was closed before it. Throws if the response is cut short. */
    Http.Message receive() throws IOException {
        return Http.read(in, false);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
