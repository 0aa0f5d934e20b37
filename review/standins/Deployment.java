import java.io.BufferedWriter;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Daemons as separate processes, started with the command of the deploy file, and the record of a case. */
final class Deployment {
    private static final String IP_PREFIX = "127.0.0.10";
    private static volatile boolean isOver;

    private final long startedNs = System.nanoTime();
    private final Path folder;
    private final Path logs;
    private final BufferedWriter record;
    private final List<Daemon> daemons = new ArrayList<>();
    final Store store;
    final String duties;
    private final int[] ports = freePorts(5);

    /** One host. All hosts use the same ports on loopback addresses of their own. */
    final class Daemon {
        final String name;
        final String ip;
        final Path settings;
        Process process;

        Daemon(String name, String ip, Path settings) {
            this.name = name;
            this.ip = ip;
            this.settings = settings;
        }

        String callers() {
            return ip + ":" + ports[0];
        }

        String directory() {
            return ip + ":" + ports[2];
        }

        void start() throws IOException {
            List<String> command = List.of(runCommand().split(" "));
            ProcessBuilder builder = new ProcessBuilder(command).directory(root().toFile());
            builder.environment().keySet().removeIf(key -> !List.of("PATH", "HOME", "JAVA_HOME", "LANG").contains(key));
            builder.environment().put("HICKORYTILLER_CONFIG", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(logs.resolve(name + ".log").toFile()));
            process = builder.start();
        }

        void signal(String signal) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        boolean isReady() {
            try {
                return status(ip, ports[1], "/ready") == 200;
            } catch (IOException e) {
                return false;
            }
        }

        String log() throws IOException {
            return Files.readString(logs.resolve(name + ".log"));
        }
    }

    Deployment(Path folder, Store store, String duties) throws IOException {
        this.folder = folder;
        this.store = store;
        this.duties = duties;
        logs = Files.createTempDirectory("review-case");
        record = Files.newBufferedWriter(folder.resolve("record.txt"));
        Runtime.getRuntime().addShutdownHook(new Thread(this::stop));
    }

    /** A case; returns whether the rule was broken. */
    interface Case {
        boolean run() throws Exception;
    }

    /** Runs a case and ends the process: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    static void runCase(Case body) {
        int status;
        try {
            status = body.run() ? 1 : 0;
            // The record ends with the verdict: the callers only see the end of the daemons from here on.
            isOver = true;
        } catch (Throwable e) {
            e.printStackTrace();
            status = 2;
        }
        System.exit(status);
    }

    Daemon add(int number, String zone, int hosts) throws IOException {
        String ip = IP_PREFIX + number;
        StringBuilder contacts = new StringBuilder();
        for (int i = 1; i <= Math.min(hosts, 3); i++) {
            if (i > 1) contacts.append(", ");
            contacts.append("\"" + IP_PREFIX).append(i).append(":").append(ports[3]).append('"');
        }
        String name = "edge-" + number;
        String text = "host = \"" + name + "\"\nfailureDomain = \"" + zone + "\"\ncontacts = [" + contacts + "]\n"
            + "store = \"" + store.address() + "\"\n"
            + (duties == null ? "" : "duties = \"" + duties + "\"\n")
            + "\n[listen]\ncallers = \"" + ip + ":" + ports[0] + "\"\nreadiness = \"" + ip + ":" + ports[1] + "\"\n"
            + "directory = \"" + ip + ":" + ports[2] + "\"\nmesh = \"" + ip + ":" + ports[3] + "\"\n"
            + "metrics = \"" + ip + ":" + ports[4] + "\"\n"
            + "\n[bounds]\nkeyWithdrawalMs = 5000\ngraceS = 8\nleaseTermMs = 3000\nusageWindowS = 5\nretryRatio = 0.2\n"
            + "retrySlack = 56\nretryWindowS = 10\ndirectoryLifetimeS = 5\npartReuseS = 10\n";
        Path settings = logs.resolve(name + ".toml");
        Files.writeString(settings, text);
        Daemon daemon = new Daemon(name, ip, settings);
        daemons.add(daemon);
        return daemon;
    }

    void awaitReady() throws IOException, InterruptedException {
        for (int i = 0; i < 300; i++) {
            if (daemons.stream().allMatch(Daemon::isReady)) return;
            Thread.sleep(100);
        }
        throw new IOException("the daemons are not ready; logs in " + logs);
    }

    long nowMs() {
        return (System.nanoTime() - startedNs) / 1_000_000;
    }

    synchronized void note(String line) {
        if (isOver) return;
        try {
            record.write(String.format("%7.3f s  %s%n", nowMs() / 1000.0, line));
            record.flush();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    void stop() {
        for (Daemon daemon : daemons) {
            if (daemon.process != null) daemon.process.destroyForcibly();
        }
        if (System.getenv("KEEP_LOGS") != null) {
            System.out.println("logs in " + logs);
            return;
        }
        try (var files = Files.walk(logs)) {
            files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            System.err.println("cannot remove " + logs);
        }
    }

    static Path root() {
        return Path.of("").toAbsolutePath();
    }

    private static String runCommand() throws IOException {
        for (String line : Files.readAllLines(root().resolve("deploy/system.toml"), StandardCharsets.UTF_8)) {
            if (line.startsWith("run = ")) return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        }
        throw new IOException("no run command in deploy/system.toml");
    }

    private static int status(String ip, int port, String path) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, port), 500);
            socket.setSoTimeout(1000);
            socket.getOutputStream().write(("GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
            return Http.readHead(socket.getInputStream()).status();
        }
    }

    private static int[] freePorts(int count) throws IOException {
        int[] found = new int[count];
        List<AutoCloseable> held = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
            held.add(socket);
            held.add(new DatagramSocket(socket.getLocalPort(), InetAddress.getByName("127.0.0.1")));
            found[i] = socket.getLocalPort();
        }
        for (AutoCloseable socket : held) {
            try {
                socket.close();
            } catch (Exception e) {
                throw new IOException(e);
            }
        }
        return found;
    }
}
