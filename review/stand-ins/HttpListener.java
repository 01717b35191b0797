/*
 * A small HTTP/1.1 server for the stand-ins of the review: one thread a connection, one request at a time on it.
 */
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** Listens on a free port of the loopback interface until it is closed. */
final class HttpListener implements AutoCloseable {
    /** A request with its complete body. Names of headers ignore case. */
    record Request(String method, String target, Map<String, String> headers, byte[] body) {
        String path() {
            int query = target.indexOf('?');
            return query < 0 ? target : target.substring(0, query);
        }

        /** Returns a field of the query, or an empty text. */
        String query(String name) {
            int start = target.indexOf('?');
            if (start < 0) return "";
            for (String pair : target.substring(start + 1).split("&")) {
                if (pair.startsWith(name + "=")) {
                    return java.net.URLDecoder.decode(pair.substring(name.length() + 1), StandardCharsets.UTF_8);
                }
            }
            return "";
        }
    }

    /** Answers a request on its connection. A connection that the handler has closed is not read further. */
    interface Handler {
        void handle(Request request, Connection connection) throws IOException, InterruptedException;
    }

    /** The connection of a caller. */
    static final class Connection {
        private final Socket socket;
        private final OutputStream output;

        private Connection(Socket socket) throws IOException {
            this.socket = socket;
            this.output = socket.getOutputStream();
        }

        void respond(int status, Map<String, String> headers, byte[] body) throws IOException {
            StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " status\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
            byte[] start = head.toString().getBytes(StandardCharsets.ISO_8859_1);
            int first = Math.min(body.length, FIRST_WRITE_BYTES);
            byte[] message = Arrays.copyOf(start, start.length + first);
            System.arraycopy(body, 0, message, start.length, first);
            output.write(message);
            output.write(body, first, body.length - first);
            output.flush();
        }

        /** Begins an answer in chunks. */
        void begin(int status, Map<String, String> headers) throws IOException {
            StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " status\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            head.append("Transfer-Encoding: chunked\r\n\r\n");
            output.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            output.flush();
        }

        /** Sends a chunk; an empty one ends the answer. */
        void chunk(String text) throws IOException {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            output.write((Integer.toHexString(bytes.length) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.UTF_8));
            output.flush();
        }

        void close() {
            try {
                socket.close();
            } catch (IOException ignored) {
                // It is closed already.
            }
        }

        boolean isClosed() {
            return socket.isClosed();
        }
    }

    /** A short answer goes out in one write with its head. */
    private static final int FIRST_WRITE_BYTES = 16_384;

    private final ServerSocket server;
    private final Handler handler;
    private final Set<Connection> connections = ConcurrentHashMap.newKeySet();

    HttpListener(Handler handler) throws IOException {
        this.handler = handler;
        this.server = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
        start("accept", this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    @Override
    public void close() {
        try {
            server.close();
        } catch (IOException ignored) {
            // It is closed already.
        }
        connections.forEach(Connection::close);
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                Connection connection = new Connection(socket);
                connections.add(connection);
                start("connection", () -> serve(socket, connection));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket, Connection connection) {
        try {
            InputStream input = new BufferedInputStream(socket.getInputStream());
            while (!connection.isClosed()) {
                Request request = readRequest(input);
                if (request == null) break;
                handler.handle(request, connection);
            }
        } catch (IOException | InterruptedException ended) {
            // The caller has left, or this stand-in has closed the connection.
        } finally {
            connection.close();
            connections.remove(connection);
        }
    }

    private static Request readRequest(InputStream input) throws IOException {
        String line = readLine(input);
        if (line == null) return null;
        String[] start = line.split(" ");
        Map<String, String> headers = readHeaders(input);
        byte[] body = input.readNBytes(Integer.parseInt(headers.getOrDefault("Content-Length", "0")));
        return new Request(start[0], start[1], headers, body);
    }

    static Map<String, String> readHeaders(InputStream input) throws IOException {
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        while (true) {
            String line = readLine(input);
            if (line == null) throw new EOFException("end of the connection inside a head");
            if (line.isEmpty()) return headers;
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
    }

    /** Returns the next line without its end, or null at the end of the connection. */
    static String readLine(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = input.read();
            if (next < 0) return line.size() == 0 ? null : line.toString(StandardCharsets.ISO_8859_1);
            if (next == '\n') return line.toString(StandardCharsets.ISO_8859_1);
            if (next != '\r') line.write(next);
        }
    }

    static void start(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }
}
