/*
 * A stand-in of a client: it sends requests over kept or new connections and reads their answers.
 */
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

final class Caller implements AutoCloseable {
    /** An answer; [expected] is the stated length of its body, and [status] is 0 if the connection ended before its head. */
    record Answer(int status, Map<String, String> headers, long expected, long received) {
        boolean isComplete() {
            return status != 0 && expected == received;
        }
    }

    private static final int DEADLINE_MS = 6_000;

    private final Socket socket = new Socket();
    private final InputStream input;

    Caller(String address) throws IOException {
        int colon = address.lastIndexOf(':');
        socket.connect(new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))), 1_000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(DEADLINE_MS + 1_000);
        input = new BufferedInputStream(socket.getInputStream(), 4_096);
    }

    /** Sends a request on a new connection and reads its answer. */
    static Answer once(String address, String method, String host, String path, String requestId, String key) {
        try (Caller caller = new Caller(address)) {
            return caller.call(method, host, path, requestId, key);
        } catch (IOException failed) {
            return new Answer(0, Map.of(), -1, 0);
        }
    }

    /** Sends a request and reads its answer. */
    Answer call(String method, String host, String path, String requestId, String key) throws IOException {
        byte[] body = "POST".equals(method) ? "order".getBytes(StandardCharsets.UTF_8) : new byte[0];
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", host);
        headers.put("Request-Id", requestId);
        headers.put("Deadline-Ms", Integer.toString(DEADLINE_MS));
        if (key != null) headers.put("X-Api-Key", key);
        if (body.length > 0) headers.put("Content-Length", Integer.toString(body.length));
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("\r\n");
        socket.getOutputStream().write((head + new String(body, StandardCharsets.UTF_8)).getBytes(StandardCharsets.ISO_8859_1));
        return readAnswer();
    }

    private Answer readAnswer() throws IOException {
        String line = HttpListener.readLine(input);
        if (line == null) return new Answer(0, Map.of(), -1, 0);
        int status = Integer.parseInt(line.split(" ")[1]);
        Map<String, String> headers = HttpListener.readHeaders(input);
        if ("chunked".equals(headers.get("Transfer-Encoding"))) return readChunks(status, headers);
        long expected = Long.parseLong(headers.getOrDefault("Content-Length", "0"));
        long received = 0;
        byte[] buffer = new byte[8_192];
        try {
            while (received < expected) {
                int count = input.read(buffer, 0, (int) Math.min(buffer.length, expected - received));
                if (count < 0) break;
                received += count;
            }
        } catch (IOException broken) {
            return new Answer(status, headers, expected, received);
        }
        return new Answer(status, headers, expected, received);
    }

    /** Reads an answer in chunks. Its length is known only once the last chunk has arrived. */
    private Answer readChunks(int status, Map<String, String> headers) {
        long received = 0;
        try {
            while (true) {
                String line = HttpListener.readLine(input);
                if (line == null) return new Answer(status, headers, -1, received);
                int size = Integer.parseInt(line.trim(), 16);
                received += input.readNBytes(size).length;
                HttpListener.readLine(input);
                if (size == 0) return new Answer(status, headers, received, received);
            }
        } catch (IOException broken) {
            return new Answer(status, headers, -1, received);
        }
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException ignored) {
            // It is closed already.
        }
    }
}
