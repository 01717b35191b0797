package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** A stand-in of a client: each request on a new connection, which it leaves when its time is over. */
final class Client {
    private static final AtomicLong IDS = new AtomicLong(System.nanoTime() & 0xffffffL);

    /** What a request got. [status] is 0 if no complete answer came. */
    record Result(String request, long sentMs, long endedMs, int status, String stamp, String body, String retryAfter, String failure) {
        boolean served() {
            return status == 200 && stamp != null;
        }
    }

    /** All that was sent and answered, for the record. */
    static final java.util.Queue<String> SENT = new java.util.concurrent.ConcurrentLinkedQueue<>();

    private Client() {}

    static String newId() {
        return String.format("%016x", IDS.incrementAndGet());
    }

    /** Sends a request to [address] with [fields], given as name, value, name, value. */
    static Result send(String address, String method, String host, String path, int deadlineMs, byte[] body, String... fields) {
        Result result = exchange(newId(), address, method, host, path, deadlineMs, body, fields);
        String answer = result.failure() == null ? String.valueOf(result.status()) : result.failure();
        SENT.add(String.format("%7d ms  sent %s %s %s to %s %s, %d ms: %s", result.sentMs(), result.request(), method, path, address,
            String.join(" ", fields), result.endedMs() - result.sentMs(), answer));
        return result;
    }

    private static Result exchange(String id, String address, String method, String host, String path, int deadlineMs, byte[] body, String... fields) {
        long sent = Clock.ms();
        int colon = address.lastIndexOf(':');
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))), 1000);
            socket.setSoTimeout(deadlineMs + 500);
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: " + id
                + "\r\nDeadline-Ms: " + deadlineMs + "\r\n");
            for (int index = 0; index < fields.length; index += 2) head.append(fields[index]).append(": ").append(fields[index + 1]).append("\r\n");
            if (body.length > 0 || !method.equals("GET")) head.append("Content-Length: ").append(body.length).append("\r\n");
            head.append("Connection: close\r\n\r\n");
            socket.getOutputStream().write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().write(body);
            socket.getOutputStream().flush();
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            Wire.Message answer = Wire.readHead(in);
            if (answer == null) return failed(id, sent, "connection closed without an answer");
            Wire.readBody(in, answer, true);
            return new Result(id, sent, Clock.ms(), answer.status(), answer.field("Response-Stamp"), answer.text(), answer.field("Retry-After"), null);
        } catch (IOException failure) {
            return failed(id, sent, failure.toString());
        }
    }

    private static Result failed(String id, long sent, String failure) {
        return new Result(id, sent, Clock.ms(), 0, null, "", null, failure);
    }

    /** Whether the daemon at [address] says that it is ready. */
    static boolean isReady(String address) {
        return exchange(newId(), address, "GET", "ready", "/lagoonrudder/ready", 1000, new byte[0]).status() == 200;
    }
}
