package review2;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A stand-in of a worker: it registers in the store, keeps to Expect-Instance and tells what arrived. */
class Worker extends Server {
    /** A request that arrived. [ran] is false if the worker turned it away. */
    record Arrival(long atMs, String request, String path, String tenant, boolean ran) {}

    /** All that arrived at workers, for the record. */
    static final java.util.Queue<String> ARRIVED = new java.util.concurrent.ConcurrentLinkedQueue<>();

    volatile String id;
    final String service;
    final String zone;
    final int slots;
    volatile long born;
    final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
    final Store store;
    private long seq = 1;
    private long coldUntilMs = 0;
    volatile String state = "ready";

    Worker(Store store, String id, String service, String zone, int slots) throws IOException {
        super(0);
        this.store = store;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.born = Clock.wallMs();
    }

    /** Registers in the store. */
    final void register() {
        store.put("servers/" + id, entry());
    }

    final void unregister() {
        store.remove("servers/" + id);
    }

    /** Crashes, and is back after [downMs] as a new incarnation with a new id; the old entry expires after three heartbeats. */
    final void crash(long downMs, Runnable onBack) throws IOException {
        String before = id;
        goDown();
        Thread thread = new Thread(() -> {
            try {
                Thread.sleep(downMs);
                id = before.replaceAll("\\.\\d+$", "") + "." + Clock.ms();
                born = Clock.wallMs();
                comeBack();
                register();
                onBack.run();
                Thread.sleep(Math.max(0, 3_600 - downMs));
                store.remove("servers/" + before);
            } catch (InterruptedException | IOException failure) {
                failure.printStackTrace();
            }
        }, "restart");
        thread.setDaemon(true);
        thread.start();
    }

    final void setColdFor(long coldMs) {
        coldUntilMs = Clock.ms() + coldMs;
    }

    synchronized String entry() {
        long cold = Math.max(0, coldUntilMs - Clock.ms());
        return "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":" + slots
            + ",\"state\":\"" + state + "\",\"coldLeftMs\":" + cold + ",\"seq\":" + (seq++) + ",\"born\":" + born + "}";
    }

    @Override
    void handle(Connection connection) throws IOException, InterruptedException {
        while (true) {
            Wire.Message request = Wire.readHead(connection.in);
            if (request == null) return;
            Wire.readBody(connection.in, request, false);
            String expected = request.field("Expect-Instance");
            if (expected != null && !expected.equals(id)) {
                note(request, false);
                connection.write(Wire.response(421, new byte[0], "Request-Id", request.field("Request-Id")));
                continue;
            }
            serve(connection, request);
        }
    }

    final void note(Wire.Message request, boolean ran) {
        ARRIVED.add(String.format("%7d ms  %s at %s", Clock.ms(), (ran ? "ran " : "turned away ") + request.field("Request-Id"), id));
        arrivals.add(new Arrival(Clock.ms(), request.field("Request-Id"), request.target(), request.field("Tenant"), ran));
    }

    /** Answers [request] at once. */
    void serve(Connection connection, Wire.Message request) throws IOException, InterruptedException {
        note(request, true);
        connection.write(Wire.response(200, ("ran " + request.field("Request-Id")).getBytes(),
            "Request-Id", request.field("Request-Id"), "Response-Stamp", "stamp." + id, "Keep-Alive", "timeout=10"));
    }
}
