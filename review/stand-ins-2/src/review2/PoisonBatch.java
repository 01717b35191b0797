package review2;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** BUDGET: a part of a prompt crashes each worker that begins to write an answer on it; a caller sends such requests in batches. */
final class PoisonBatch extends Run {
    private static final int CONTACT_MS = 3_000;
    private static final int BOUND = 3;
    private static final int WORKERS = 8;
    private static final int DOWN_MS = 2_000;
    private static final int BATCH = 6;
    private static final int BATCH_INTERVAL_MS = 5_000;
    private static final int BATCHES = 4;
    private static final String CALLER_PART = "5c1e07a2";
    private static final String DEADLY_PART = "91bd3f06";
    private static final String SOUND_PART = "91bd3f07";
    private static final Map<String, String> ZONES = Map.of("ost-a", "ost", "west-a", "west", "sued-a", "sued");
    private static final List<String> ZONE_NAMES = List.of("ost-a", "west-a", "sued-a");

    private record Reached(long atMs, String request, String worker) {}

    private final List<Long> crashes = new CopyOnWriteArrayList<>();
    private final List<Reached> reached = new CopyOnWriteArrayList<>();
    private final Map<String, AtomicInteger> answers = new ConcurrentHashMap<>();

    public static void main(String[] arguments) throws Exception {
        new PoisonBatch().run(arguments);
    }

    /** A worker that writes streams; it crashes as it begins to write an answer on the deadly part. */
    private final class ModelWorker extends Worker {
        ModelWorker(Store store, String id, String zone) throws IOException {
            super(store, id, "most-llm", zone, 16);
        }

        @Override
        void serve(Connection connection, Wire.Message request) throws IOException, InterruptedException {
            String parts = request.field("Prompt-Prefix");
            boolean deadly = parts != null && parts.contains(DEADLY_PART);
            String instance = id;
            if (deadly) reached.add(new Reached(Clock.ms(), request.field("Request-Id"), instance));
            note(request, true);
            Thread.sleep(deadly ? 60 : 40);
            if (!instance.equals(id)) return;
            if (deadly) {
                crash(instance);
                return;
            }
            connection.write(Wire.head(200, "Request-Id", request.field("Request-Id"), "Response-Stamp", "stamp." + id,
                "Content-Type", "text/event-stream", "Transfer-Encoding", "chunked"));
            for (int event = 1; event <= 12; event++) {
                String text = "id: " + event + "\ndata: token\n\n";
                connection.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes());
                Thread.sleep(40);
            }
            connection.write("0\r\n\r\n".getBytes());
        }

        private synchronized void crash(String instance) throws IOException {
            if (!instance.equals(id) || isDown) return;
            isDown = true;
            crashes.add(Clock.ms());
            PoisonBatch.this.note("worker " + instance + " crashes (" + crashes.size() + ")");
            crash(DOWN_MS, () -> isDown = false);
        }

        private volatile boolean isDown;
    }

    @Override
    int play() throws Exception {
        Store store = new Store();
        store.put("op/config", """
            {"version":3,"routes":[{"name":"dossier-draft","host":"llm.example","prefix":"/draft/","kind":"stream","timeoutMs":6000,
            "targetLatencyMs":400,"gapAimMs":300,"service":"most-llm","attempts":2,"priority":1,"sticky":true}],
            "services":[{"name":"most-llm","maxConns":294,"healthPath":"/health"}],
            "limits":{"maxHeaderBytes":8192,"maxBodyBytes":65536,"headerTimeoutMs":2000,"idleTimeoutMs":8000}}""");
        for (int index = 0; index < WORKERS; index++) new ModelWorker(store, "i-llm-" + index, ZONE_NAMES.get(index % 3)).register();
        List<Daemon> daemons = new ArrayList<>();
        for (String zone : ZONE_NAMES) {
            List<String> seeds = daemons.stream().map(each -> each.peers).toList();
            daemons.add(new Daemon(folder, "front-" + zone + "-1", "entry", zone, ZONES, store.address(), seeds, null, null).start());
        }
        for (Daemon each : daemons) if (!each.awaitReady(20_000)) return NOT_RUN;
        note("three machines are ready");
        ExecutorService threads = Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        });
        long start = Clock.ms() + 4_000;
        long nextBatch = start;
        int batches = 0;
        while (Clock.ms() < start + BATCHES * BATCH_INTERVAL_MS) {
            for (Daemon each : daemons) threads.submit(() -> draft(each, SOUND_PART, "sound"));
            if (batches < BATCHES && Clock.ms() >= nextBatch) {
                batches++;
                nextBatch += BATCH_INTERVAL_MS;
                note("batch " + batches + ": " + BATCH + " requests" + (trouble ? " with the deadly part" : ""));
                for (int index = 0; index < BATCH; index++) {
                    Daemon daemon = daemons.get(index % daemons.size());
                    int batch = batches;
                    threads.submit(() -> draft(daemon, trouble ? DEADLY_PART : SOUND_PART, "batch " + batch));
                }
            }
            Thread.sleep(100);
        }
        Thread.sleep(3_000);
        new java.util.TreeMap<>(answers).forEach((what, count) -> note(what + ": " + count));
        return check();
    }

    private void draft(Daemon daemon, String part, String what) {
        String own = Long.toHexString(ThreadLocalRandom.current().nextLong() >>> 32);
        Client.Result result = Client.send(daemon.callers, "POST", "llm.example", "/draft/1", 6000, "prompt".getBytes(),
            "Model", "daka510000", "Token-Usage", "850,72", "Prompt-Prefix", CALLER_PART + ":40," + part + ":410," + own + ":400");
        String answer = result.failure() == null ? String.valueOf(result.status()) : "broken off";
        answers.computeIfAbsent(what + " answered " + answer, it -> new AtomicInteger()).incrementAndGet();
    }

    private int check() {
        note("crashes: " + crashes.size() + ", requests with the deadly part that reached workers: " + reached.size());
        if (crashes.size() < 5) return HELD;
        long from = crashes.stream().sorted().toList().get(4) + CONTACT_MS;
        List<Reached> late = reached.stream().filter(it -> it.atMs() > from).toList();
        late.forEach(it -> note("reached " + it.worker() + " at " + it.atMs() + " ms: " + it.request()));
        note("later than " + CONTACT_MS + " ms after the fifth crash: " + late.size() + "; bound " + BOUND);
        return late.size() > BOUND ? BROKEN : HELD;
    }
}
