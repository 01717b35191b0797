/*
 * A stand-in of a worker that answers with streams. When its memory runs out it preempts a request in the middle of its stream and
 * reads it again, which is a pause between two events.
 */
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;

final class StreamWorker implements AutoCloseable {
    private static final int EVENTS = 24;
    private static final long EVENT_MS = 50;
    private static final int PREEMPTED_AFTER = 10;

    final String id;
    private final String service;
    private final String zone;
    private final Record record;
    private final HttpListener listener;
    private volatile long preemptionMs;

    StreamWorker(String id, String service, String zone, Record record) throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.record = record;
        this.listener = new HttpListener(this::handle);
    }

    String key() {
        return "servers/" + id;
    }

    String entry() {
        return "{\"service\":\"" + service + "\",\"address\":\"" + listener.address() + "\",\"zone\":\"" + zone
                + "\",\"version\":\"1\",\"slots\":16,\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":1,\"born\":1790000000000}";
    }

    /** From now on every request is preempted once, for this long. */
    void preempt(long milliseconds) {
        preemptionMs = milliseconds;
    }

    @Override
    public void close() {
        listener.close();
    }

    private void handle(HttpListener.Request request, HttpListener.Connection connection) throws IOException, InterruptedException {
        String requestId = request.headers().getOrDefault("Request-Id", "");
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Request-Id", requestId);
        String expected = request.headers().get("Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            connection.respond(421, headers, new byte[0]);
            return;
        }
        headers.put("Response-Stamp", id + "." + requestId);
        headers.put("Content-Type", "text/event-stream");
        int last = Integer.parseInt(request.headers().getOrDefault("Last-Event-Id", "0"));
        record.arrivals.add(new Record.Arrival(requestId, id, service, request.headers().get("Tenant"), System.currentTimeMillis()));
        record.add("run", "request=" + requestId + " worker=" + id + " after=" + last);
        connection.begin(200, headers);
        try {
            for (int event = last + 1; event <= EVENTS; event++) {
                Thread.sleep(event == PREEMPTED_AFTER + 1 && preemptionMs > 0 ? preemptionMs : EVENT_MS);
                connection.chunk("id: " + event + "\ndata: token " + event + "\n\n");
            }
            connection.chunk("");
            record.add("done", "request=" + requestId + " worker=" + id);
        } catch (IOException left) {
            record.add("caller-left", "request=" + requestId + " worker=" + id + ": " + left.getMessage());
            throw left;
        }
    }
}
