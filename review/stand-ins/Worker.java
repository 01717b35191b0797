/*
 * A stand-in of a worker of a plain service. It checks Expect-Instance, runs a few requests at once, queues a few more and signs
 * its answers.
 */
import java.io.IOException;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

final class Worker implements AutoCloseable {
    /** How many requests may wait for each that runs. */
    private static final int QUEUED_PER_SLOT = 4;

    final String id;
    final String service;
    final String zone;
    private final long born = System.currentTimeMillis();
    private final int slotCount;
    private final int workMs;
    private final int answerBytes;
    private final Record record;
    private final HttpListener listener;
    private final Semaphore slots;
    private final AtomicInteger present = new AtomicInteger();
    private volatile boolean leaving;

    Worker(String id, String service, String zone, int slotCount, int workMs, int answerBytes, Record record) throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slotCount = slotCount;
        this.slots = new Semaphore(slotCount, true);
        this.workMs = workMs;
        this.answerBytes = answerBytes;
        this.record = record;
        this.listener = new HttpListener(this::handle);
    }

    String key() {
        return "servers/" + id;
    }

    /** What this worker writes about itself in the store. */
    String entry(String state) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + listener.address() + "\",\"zone\":\"" + zone
                + "\",\"version\":\"1\",\"slots\":" + slotCount + ",\"state\":\"" + state + "\",\"coldLeftMs\":0,\"seq\":1,\"born\":" + born + "}";
    }

    /** From now on all answers say that this worker leaves. */
    void leave() {
        leaving = true;
    }

    /** Ends this worker: whatever runs is cut. */
    @Override
    public void close() {
        listener.close();
    }

    private void handle(HttpListener.Request request, HttpListener.Connection connection) throws IOException, InterruptedException {
        String expected = request.headers().get("Expect-Instance");
        String requestId = request.headers().getOrDefault("Request-Id", "");
        Map<String, String> headers = new LinkedHashMap<>();
        if (!requestId.isEmpty()) headers.put("Request-Id", requestId);
        if (expected != null && !expected.equals(id)) {
            respond(connection, 421, headers, new byte[0]);
            return;
        }
        record.add("arrived", "request=" + requestId + " worker=" + id + " service=" + service);
        record.arrivals.add(new Record.Arrival(requestId, id, service, request.headers().get("Tenant"), System.currentTimeMillis()));
        try {
            boolean admitted = present.incrementAndGet() <= slotCount * (1 + QUEUED_PER_SLOT) && slots.tryAcquire(2, TimeUnit.SECONDS);
            if (!admitted) {
                headers.put("Not-Executed", "1");
                respond(connection, 503, headers, new byte[0]);
                return;
            }
            try {
                run(request, requestId, headers, connection);
            } finally {
                slots.release();
            }
        } finally {
            present.decrementAndGet();
        }
    }

    private void run(HttpListener.Request request, String requestId, Map<String, String> headers, HttpListener.Connection connection)
            throws IOException, InterruptedException {
        record.add("run", "request=" + requestId + " worker=" + id + " service=" + service + " tenant=" + request.headers().get("Tenant"));
        Thread.sleep(workMs);
        headers.put("Response-Stamp", id + "." + requestId);
        respond(connection, 200, headers, body());
        record.add("done", "request=" + requestId + " worker=" + id);
    }

    /** Answers, and says in every answer that this worker leaves once it does. */
    private void respond(HttpListener.Connection connection, int status, Map<String, String> headers, byte[] body) throws IOException {
        if (leaving) headers.put("Server-Leaving", "1");
        connection.respond(status, headers, body);
    }

    private byte[] body() {
        byte[] body = new byte[answerBytes];
        Arrays.fill(body, (byte) 'a');
        return body;
    }
}
