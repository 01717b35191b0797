/*
 * A stand-in of a model worker: it stages and loads weights on order, reports its state, and answers streams once it holds a model.
 */
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

final class ModelWorker implements AutoCloseable {
    private static final int SLOTS = 16;
    private static final long LOAD_MS = 1_000;

    /** Three intervals of heartbeatMs, after which the entry of a worker that is silent is removed. */
    private static final long LAPSE_MS = 3 * 1_200;
    private static final long ANSWER_MS = 100;
    private static final int EVENTS = 6;

    final String zone;
    private final String name;
    private final String service;
    private final Store store;
    private final Record record;
    private final HttpListener listener;
    private final Map<Integer, byte[]> staged = new ConcurrentHashMap<>();
    private int runs;
    private String id;
    private long born;
    private long seq;
    private long loaded;
    private boolean loading;
    private boolean dark;

    ModelWorker(String name, String service, String zone, Store store, Record record) throws IOException {
        this.name = name;
        this.service = service;
        this.zone = zone;
        this.store = store;
        this.record = record;
        this.listener = new HttpListener(this::handle);
        start(1);
        for (int number = 0; number < Origin.CHUNKS; number++) staged.put(number, Origin.piece(1, number));
    }

    String address() {
        return listener.address();
    }

    /** This worker's machine loses power: it says nothing more, and what it held and had staged is gone. Its entry lapses later. */
    synchronized void losePower() {
        dark = true;
        staged.clear();
        String entry = "servers/" + id;
        HttpListener.start("lapse", () -> {
            Site.sleep(LAPSE_MS);
            store.remove(entry);
        });
    }

    /** The machine is back, and a new incarnation runs on it. */
    synchronized void powerUp() {
        dark = false;
        start(0);
    }

    @Override
    public void close() {
        listener.close();
    }

    private void start(long version) {
        id = "i-" + name + "-" + ++runs;
        born = System.currentTimeMillis();
        seq = 0;
        loaded = version;
        loading = false;
        register();
    }

    private void register() {
        store.put("servers/" + id, "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + zone
                + "\",\"version\":\"1\",\"slots\":" + SLOTS + ",\"state\":\"ready\",\"coldLeftMs\":0," + state() + "}");
    }

    private String state() {
        String models = loaded == 0 ? "[]" : "[{\"name\":\"" + Origin.MODEL + "\",\"version\":" + loaded + ",\"adapters\":[]}]";
        String layers = loaded == 0 ? "null" : "{\"from\":0,\"target\":" + Origin.LAYERS + ",\"version\":" + loaded + "}";
        return "\"stage\":\"both\",\"models\":" + models + ",\"layers\":" + layers + ",\"seq\":" + seq + ",\"born\":" + born;
    }

    private void handle(HttpListener.Request request, HttpListener.Connection connection) throws IOException, InterruptedException {
        synchronized (this) {
            if (dark) {
                connection.close();
                return;
            }
        }
        String path = request.path();
        if (path.endsWith("/report")) report(connection);
        else if (path.endsWith("/order")) order(request, connection);
        else if (path.contains("/stage-put/")) put(request, connection);
        else if (path.contains("/stage-get/")) get(request, connection);
        else serve(request, connection);
    }

    private void report(HttpListener.Connection connection) throws IOException {
        String body;
        synchronized (this) {
            body = "{" + state() + ",\"busy\":" + loading + ",\"waiting\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":1640000,\"handles\":0}";
        }
        connection.respond(200, Map.of("Content-Type", "application/json"), body.getBytes(StandardCharsets.UTF_8));
    }

    private void put(HttpListener.Request request, HttpListener.Connection connection) throws IOException {
        staged.put(Integer.parseInt(request.query("num")), request.body());
        connection.respond(200, Map.of(), new byte[0]);
    }

    private void get(HttpListener.Request request, HttpListener.Connection connection) throws IOException {
        byte[] piece = staged.get(Integer.parseInt(request.query("num")));
        connection.respond(piece == null ? 404 : 200, Map.of(), piece == null ? new byte[0] : piece);
    }

    private void order(HttpListener.Request request, HttpListener.Connection connection) throws IOException {
        String body = new String(request.body(), StandardCharsets.UTF_8);
        connection.respond(decide(number(body, "version"), number(body, "expected")), Map.of(), new byte[0]);
    }

    private synchronized int decide(long version, long expected) {
        if (loading || (expected >= 0 && expected != seq)) return 409;
        if (loaded == version) return 200;
        seq++;
        loading = true;
        long orderedBorn = born;
        record.add("order", id + " loads version " + version);
        HttpListener.start("load", () -> load(version, orderedBorn));
        return 202;
    }

    private void load(long version, long orderedBorn) {
        Site.sleep(LOAD_MS);
        synchronized (this) {
            if (born != orderedBorn || dark) return;
            loading = false;
            loaded = version;
            record.add("loaded", id + " holds version " + version);
            register();
        }
    }

    private static long number(String body, String field) {
        java.util.regex.Matcher found = java.util.regex.Pattern.compile("\"" + field + "\":(\\d+)").matcher(body);
        return found.find() ? Long.parseLong(found.group(1)) : -1;
    }

    private void serve(HttpListener.Request request, HttpListener.Connection connection) throws IOException, InterruptedException {
        String requestId = request.headers().getOrDefault("Request-Id", "");
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Request-Id", requestId);
        String expectedId = request.headers().get("Expect-Instance");
        String expectedVersion = request.headers().get("Expect-Version");
        long version;
        synchronized (this) {
            version = loading ? 0 : loaded;
            if ((expectedId != null && !expectedId.equals(id)) || (expectedVersion != null && Long.parseLong(expectedVersion) != version)) version = -1;
        }
        if (version < 0) {
            connection.respond(421, headers, new byte[0]);
            return;
        }
        if (version == 0) {
            headers.put("Not-Executed", "1");
            connection.respond(503, headers, new byte[0]);
            return;
        }
        record.add("run", "request=" + requestId + " worker=" + id + " version=" + version);
        Thread.sleep(ANSWER_MS);
        StringBuilder body = new StringBuilder();
        for (int event = 1; event <= EVENTS; event++) body.append("id: ").append(event).append("\ndata: token ").append(event).append("\n\n");
        headers.put("Content-Type", "text/event-stream");
        headers.put("Weight-Versions", Long.toString(version));
        headers.put("Response-Stamp", id + "." + requestId);
        connection.respond(200, headers, body.toString().getBytes(StandardCharsets.UTF_8));
    }
}
