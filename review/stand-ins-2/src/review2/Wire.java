package review2;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Reads and writes HTTP/1.1 messages on blocking streams, as the stand-ins need them. */
final class Wire {
    private Wire() {}

    /** A message: its start line, its header fields and its body. */
    static final class Message {
        final String start;
        final Map<String, String> fields = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        Message(String start) {
            this.start = start;
        }

        String method() {
            return start.split(" ")[0];
        }

        String target() {
            return start.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String field(String name) {
            return fields.get(name);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads a head; returns null if the connection ends before its first byte. */
    static Message readHead(InputStream in) throws IOException {
        String start = readLine(in);
        if (start == null) return null;
        Message message = new Message(start);
        while (true) {
            String line = readLine(in);
            if (line == null) throw new EOFException("connection ended inside a head");
            if (line.isEmpty()) return message;
            int colon = line.indexOf(':');
            if (colon > 0) message.fields.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
    }

    /** Reads the body that the head states; a response without a length or chunks ends with its connection. */
    static void readBody(InputStream in, Message message, boolean isResponse) throws IOException {
        String length = message.field("Content-Length");
        String coding = message.field("Transfer-Encoding");
        if (coding != null && coding.toLowerCase().contains("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String line = readLine(in);
                if (line == null) throw new EOFException("connection ended before the last chunk");
                int size = Integer.parseInt(line.split(";")[0].trim(), 16);
                if (size > 0) body.write(exactly(in, size));
                String end = readLine(in);
                if (end == null) throw new EOFException("connection ended inside a chunk");
                if (size == 0) break;
            }
            message.body = body.toByteArray();
        } else if (length != null) {
            message.body = exactly(in, Integer.parseInt(length));
        } else if (isResponse) {
            message.body = in.readAllBytes();
        }
    }

    static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) throw new EOFException("connection ended after " + bytes.length + " of " + size + " bytes");
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (line.size() == 0) return null;
                throw new EOFException("connection ended inside a line");
            }
            if (next == '\n') break;
            line.write(next);
        }
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }

    /** Returns the head of a response with [fields], given as name, value, name, value. */
    static byte[] head(int status, String... fields) {
        StringBuilder text = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
        for (int index = 0; index < fields.length; index += 2) {
            if (fields[index + 1] != null) text.append(fields[index]).append(": ").append(fields[index + 1]).append("\r\n");
        }
        return text.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Returns a whole response with [body] and [fields]. */
    static byte[] response(int status, byte[] body, String... fields) {
        List<String> all = new ArrayList<>(java.util.Arrays.asList(fields));
        all.add("Content-Length");
        all.add(String.valueOf(body.length));
        byte[] head = head(status, all.toArray(new String[0]));
        byte[] whole = new byte[head.length + body.length];
        System.arraycopy(head, 0, whole, 0, head.length);
        System.arraycopy(body, 0, whole, head.length, body.length);
        return whole;
    }

    static Map<String, String> query(String target) {
        Map<String, String> parameters = new LinkedHashMap<>();
        int mark = target.indexOf('?');
        if (mark < 0) return parameters;
        for (String pair : target.substring(mark + 1).split("&")) {
            int equals = pair.indexOf('=');
            if (equals < 0) continue;
            parameters.put(pair.substring(0, equals), java.net.URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return parameters;
    }

    static String quoted(String text) {
        return '"' + text.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
    }
}
