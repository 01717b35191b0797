import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-ins of the platform's store, of workers and of clients, and the means to run the project's daemons as processes. */
final class Lab {
    static final long START = System.nanoTime();
    static final String HOST = "127.0.0.1";
    private static final Random RANDOM = new Random();
    private static final Set<Integer> TAKEN = new HashSet<>();
    private static PrintWriter record;
    private static final List<Daemon> DAEMONS = new ArrayList<>();

    private Lab() {}

    static double seconds() {
        return (System.nanoTime() - START) / 1e9;
    }

    static void openRecord(Path file) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    static synchronized void note(String text) {
        String line = String.format(Locale.ROOT, "%8.3f s  %s", seconds(), text);
        if (record != null) record.println(line);
        System.out.println(line);
    }

    /** Returns a port that nobody uses, below those that connections get. */
    static synchronized int freePort() throws IOException {
        for (int tries = 0; tries < 1000; tries++) {
            int port = 15_000 + RANDOM.nextInt(15_000);
            if (!TAKEN.add(port)) continue;
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(HOST))) {
                return socket.getLocalPort();
            } catch (BindException used) {
                // Another one may be free.
            }
        }
        throw new IOException("no free port");
    }

    static void sleep(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }

    static Thread background(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** The platform's store: range reads, watches, and the era that rises when it comes back from a copy. */
    static final class Store {
        private static final class Item {
            final long revision;
            final byte[] value;

            Item(long revision, byte[] value) {
                this.revision = revision;
                this.value = value;
            }
        }

        static final class Copy {
            private final TreeMap<String, Item> items;
            private final long revision;

            private Copy(TreeMap<String, Item> items, long revision) {
                this.items = items;
                this.revision = revision;
            }
        }

        private TreeMap<String, Item> items = new TreeMap<>();
        private long revision = 100;
        private long era = 1;
        private volatile boolean away;
        final String address;

        Store() throws IOException {
            HttpServer server = HttpServer.create(new InetSocketAddress(HOST, 0), 0);
            server.setExecutor(Executors.newCachedThreadPool(task -> {
                Thread thread = new Thread(task);
                thread.setDaemon(true);
                return thread;
            }));
            server.createContext("/", this::handle);
            server.start();
            address = HOST + ":" + server.getAddress().getPort();
        }

        synchronized void put(String key, String value) {
            put(key, value.getBytes(StandardCharsets.UTF_8));
        }

        synchronized void put(String key, byte[] value) {
            items.put(key, new Item(++revision, value));
            notifyAll();
        }

        /** A worker renews its entry: the entry changes when more than seq changes. */
        synchronized void beat(String key, String value) {
            Item known = items.get(key);
            if (away) return;
            String before = known == null || known.value == null ? "" : new String(known.value, StandardCharsets.UTF_8).replaceAll("\"seq\":\\d+", "");
            if (!before.equals(value.replaceAll("\"seq\":\\d+", ""))) put(key, value);
        }

        synchronized void remove(String key) {
            items.put(key, new Item(++revision, null));
            notifyAll();
        }

        synchronized Copy copy() {
            return new Copy(new TreeMap<>(items), revision);
        }

        synchronized void leave() {
            away = true;
            notifyAll();
        }

        synchronized void comeBack(Copy copy) {
            if (copy != null) {
                items = new TreeMap<>(copy.items);
                revision = copy.revision;
                era++;
            }
            away = false;
            notifyAll();
        }

        private void handle(HttpExchange exchange) throws IOException {
            try {
                Map<String, String> query = queryOf(exchange);
                String path = exchange.getRequestURI().getPath();
                exchange.getRequestBody().readAllBytes();
                if (away) answer(exchange, 503, "");
                else if (path.endsWith("/kv-range")) answer(exchange, 200, range(query));
                else if (path.endsWith("/kv-watch")) watch(exchange, query);
                else answer(exchange, 404, "");
            } finally {
                exchange.close();
            }
        }

        private synchronized String range(Map<String, String> query) {
            String after = query.getOrDefault("after", "");
            String prefix = query.getOrDefault("prefix", "");
            List<String> present = new ArrayList<>();
            for (Map.Entry<String, Item> entry : items.entrySet()) {
                boolean fits = entry.getKey().startsWith(prefix) && entry.getKey().compareTo(after) > 0;
                if (fits && entry.getValue().value != null) present.add(json(entry.getKey(), entry.getValue()));
            }
            return "{\"items\":[" + String.join(",", present) + "],\"hasMore\":false,\"at\":" + revision + "}";
        }

        private void watch(HttpExchange exchange, Map<String, String> query) throws IOException {
            long after = Long.parseLong(query.get("after"));
            long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Long.parseLong(query.get("waitMs")));
            String body;
            int status = 200;
            synchronized (this) {
                long asked = era;
                while (!away && era == asked && revision <= after) {
                    long left = TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime());
                    if (left <= 0 || after > revision) break;
                    try {
                        wait(left);
                    } catch (InterruptedException interrupted) {
                        throw new IOException(interrupted);
                    }
                }
                TreeMap<Long, String> events = new TreeMap<>();
                for (Map.Entry<String, Item> entry : items.entrySet()) {
                    if (entry.getValue().revision > after) events.put(entry.getValue().revision, json(entry.getKey(), entry.getValue()));
                }
                body = "{\"events\":[" + String.join(",", events.values()) + "],\"at\":" + revision + "}";
                if (away) status = 503;
                else if (after > revision) status = 410;
            }
            answer(exchange, status, status == 200 ? body : "");
        }

        private String json(String key, Item item) {
            String start = "{\"key\":\"" + key + "\",\"revision\":" + item.revision;
            if (item.value == null) return start + ",\"deleted\":true}";
            return start + ",\"created\":" + item.revision + ",\"lease\":0,\"value\":\"" + Base64.getEncoder().encodeToString(item.value) + "\"}";
        }

        private void answer(HttpExchange exchange, int status, String body) throws IOException {
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.getResponseHeaders().set("Store-Era", Long.toString(era));
            exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
            if (bytes.length > 0) exchange.getResponseBody().write(bytes);
        }

        private static Map<String, String> queryOf(HttpExchange exchange) {
            Map<String, String> query = new LinkedHashMap<>();
            String raw = exchange.getRequestURI().getRawQuery();
            if (raw == null) return query;
            for (String part : raw.split("&")) {
                int at = part.indexOf('=');
                if (at > 0) query.put(part.substring(0, at), URLDecoder.decode(part.substring(at + 1), StandardCharsets.UTF_8));
            }
            return query;
        }
    }

    /** A message of HTTP/1.1: its first line, its fields with names in lower case, and its body. */
    static final class Message {
        final String first;
        final Map<String, String> fields = new LinkedHashMap<>();
        byte[] body = new byte[0];
        /** Whether the body came to its end. */
        boolean whole;

        Message(String first) {
            this.first = first;
        }

        String field(String name) {
            return fields.get(name.toLowerCase(Locale.ROOT));
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        /** Reads a message; returns null if the connection ends before its head does. */
        static Message read(InputStream in, boolean isAnswer) throws IOException {
            String first = line(in);
            if (first == null || first.isEmpty()) return null;
            Message message = new Message(first);
            for (String line = line(in); ; line = line(in)) {
                if (line == null) return null;
                if (line.isEmpty()) break;
                int colon = line.indexOf(':');
                message.fields.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
            }
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            String length = message.field("content-length");
            try {
                if ("chunked".equalsIgnoreCase(message.field("transfer-encoding"))) {
                    while (true) {
                        String size = line(in);
                        if (size == null) break;
                        int bytes = Integer.parseInt(size.trim(), 16);
                        byte[] chunk = in.readNBytes(bytes);
                        body.write(chunk);
                        if (chunk.length < bytes || line(in) == null) break;
                        if (bytes == 0) {
                            message.whole = true;
                            break;
                        }
                    }
                } else if (length != null) {
                    byte[] bytes = in.readNBytes(Integer.parseInt(length));
                    body.write(bytes);
                    message.whole = bytes.length == Integer.parseInt(length);
                } else if (isAnswer) {
                    in.transferTo(body);
                } else {
                    message.whole = true;
                }
            } catch (IOException cut) {
                message.whole = false;
            }
            message.body = body.toByteArray();
            return message;
        }

        private static String line(InputStream in) throws IOException {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            for (int next = in.read(); ; next = in.read()) {
                if (next < 0) return null;
                if (next == '\n') break;
                if (next != '\r') bytes.write(next);
            }
            return bytes.toString(StandardCharsets.ISO_8859_1);
        }
    }

    /** What a worker does with a request; it writes the answer itself. Returns whether the connection goes on. */
    interface Behaviour {
        boolean serve(Message request, Socket connection, OutputStream out) throws IOException;
    }

    /** A worker that hands each request to its behaviour. */
    static final class Worker {
        final String id;
        final String address;
        final ServerSocket socket;

        Worker(String id, Behaviour behaviour) throws IOException {
            this.id = id;
            socket = new ServerSocket(0, 200, InetAddress.getByName(HOST));
            address = HOST + ":" + socket.getLocalPort();
            background(() -> {
                while (true) {
                    try {
                        Socket connection = socket.accept();
                        background(() -> serve(connection, behaviour));
                    } catch (IOException closed) {
                        return;
                    }
                }
            });
        }

        private static void serve(Socket connection, Behaviour behaviour) {
            try (connection) {
                connection.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(connection.getInputStream());
                while (true) {
                    Message request = Message.read(in, false);
                    if (request == null || !behaviour.serve(request, connection, connection.getOutputStream())) return;
                }
            } catch (IOException cut) {
                // The caller has left.
            }
        }

        String entry(String service, String zone, String state, long born, long seq) {
            return "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":8,"
                + "\"state\":\"" + state + "\",\"coldLeftMs\":0,\"seq\":" + seq + ",\"born\":" + born + "}";
        }
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Sends a request on a new connection and reads the answer; returns null if none came. */
    static Message ask(String address, String request, int timeoutMs) {
        String[] parts = address.split(":");
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 1000);
            socket.setSoTimeout(timeoutMs);
            write(socket.getOutputStream(), request);
            return Message.read(new BufferedInputStream(socket.getInputStream()), true);
        } catch (IOException failed) {
            return null;
        }
    }

    /** A daemon of the deploy file, run as a process. */
    static final class Daemon {
        final String name;
        private final List<String> command;
        private final Path log;
        private final Path root;
        Process process;
        String callers;
        String ready;
        String peers;

        private Daemon(Path root, Path folder, String name, List<String> command) {
            this.root = root;
            this.name = name;
            this.command = command;
            this.log = folder.resolve(name + ".log");
            DAEMONS.add(this);
        }

        void start() throws IOException {
            process = new ProcessBuilder(command).directory(root.toFile()).redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile())).start();
        }

        void signal(String signal) throws IOException {
            try {
                new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).inheritIO().start().waitFor();
            } catch (InterruptedException interrupted) {
                throw new IOException(interrupted);
            }
        }

        boolean isReady() {
            Message answer = ask(ready, "GET /lagoonrudder/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n", 1000);
            return answer != null && answer.status() == 200;
        }

        boolean awaitReady(double limitS) {
            for (double until = seconds() + limitS; seconds() < until; sleep(50)) if (isReady()) return true;
            return false;
        }
    }

    static Path root() {
        return Path.of(System.getProperty("lab.root")).toAbsolutePath();
    }

    private static List<String> commandOf(String role, Path settings) throws IOException {
        String file = Files.readString(root().resolve("deploy/system.toml"));
        Matcher run = Pattern.compile("\\[roles\\." + role + "]\\s+run = \"([^\"]*)\"").matcher(file);
        if (!run.find()) throw new IOException("no role " + role + " in the deploy file");
        List<String> words = new ArrayList<>(Arrays.asList(run.group(1).split(" ")));
        words.set(words.size() - 1, settings.toString());
        return words;
    }

    /** The settings of a small deployment in the layout of the deploy template, with three zones in three regions. */
    private static String settings(String name, String role, String zone, String listen, String seeds, String store, String slot) throws IOException {
        return "[daemon]\nname = " + name + "\nrole = " + role + "\ndomain = " + zone + "\nregion = " + zone.replace("-a", "") + "\n\n"
            + "[domains]\nost-a = ost\nwest-a = west\nsued-a = sued\n\n[listen]\n" + listen + "\n"
            + "[operators]\naddress = " + HOST + ":" + freePort() + "\n\n[peers]\nseeds = " + seeds + "\n\n[store]\naddress = " + store + "\n\n"
            + "[slot]\n" + slot + "\n[bounds]\nversion = 8000ms\ncontact = 3000ms\ncold-ratio = 1.5\ncold-allowance = 5\nrepeat-ratio = 0.2\n"
            + "repeat-window = 10s\nrepeat-allowance = 100\nstop-grace = 8s\n";
    }

    /** Entry daemons in the given zones, which are each other's seeds. They are not started. */
    static List<Daemon> entries(Path folder, String store, String... zones) throws IOException {
        List<Daemon> entries = new ArrayList<>();
        List<String> peers = new ArrayList<>();
        for (int index = 0; index < zones.length; index++) peers.add(HOST + ":" + freePort());
        AtomicInteger number = new AtomicInteger();
        for (String zone : zones) {
            String name = "entry-" + zone + "-" + number.incrementAndGet();
            Path file = folder.resolve(name + ".ini");
            Daemon daemon = new Daemon(root(), folder, name, commandOf("entry", file));
            daemon.callers = HOST + ":" + freePort();
            daemon.ready = HOST + ":" + freePort();
            daemon.peers = peers.get(number.get() - 1);
            String listen = "callers = " + daemon.callers + "\nready = " + daemon.ready + "\npeers = " + daemon.peers + "\nchunks = " + HOST + ":"
                + freePort() + "\n";
            Files.writeString(file, settings(name, "entry", zone, listen, String.join(",", peers), store, "back-end =\nservice =\n"));
            entries.add(daemon);
        }
        return entries;
    }

    /** A target daemon beside the worker at the given address. It is not started. */
    static Daemon target(Path folder, String store, String zone, List<Daemon> seeds, String worker, String service) throws IOException {
        String name = "target-" + zone + "-" + worker.replace(HOST + ":", "");
        Path file = folder.resolve(name + ".ini");
        List<String> peers = new ArrayList<>();
        for (Daemon seed : seeds) peers.add(seed.peers);
        String listen = "callers =\nready =\npeers =\nchunks = " + HOST + ":" + freePort() + "\n";
        Files.writeString(file, settings(name, "target", zone, listen, String.join(",", peers), store,
            "back-end = " + worker + "\nservice = " + service + "\n"));
        return new Daemon(root(), folder, name, commandOf("target", file));
    }

    static void killAll() {
        for (Daemon daemon : DAEMONS) if (daemon.process != null) daemon.process.destroyForcibly();
        for (Daemon daemon : DAEMONS) {
            try {
                if (daemon.process != null) daemon.process.waitFor();
            } catch (InterruptedException interrupted) {
                return;
            }
        }
    }
}
