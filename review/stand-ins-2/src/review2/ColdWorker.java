package review2;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * FAILBACK: a machine that serves as seed is lost, and a spare one takes its place. Its settings name the lost machine as seed, and are
 * corrected without a signal within seedLagS.
 */
final class ColdWorker extends Run {
    private static final double COLD_PER_S = 28;
    private static final double BOUND = COLD_PER_S * 1.5 + 5;
    private static final int COLD_MS = 3_000;
    private static final int SEED_LAG_MS = 3_000;
    private static final int RATE = 45;
    private static final Map<String, String> ZONES = Map.of("ost-a", "ost", "west-a", "west", "sued-a", "sued");

    private final Map<String, Long> sentAt = new ConcurrentHashMap<>();
    private final Map<String, Map<Integer, AtomicInteger>> answers = new ConcurrentHashMap<>();

    public static void main(String[] arguments) throws Exception {
        new ColdWorker().run(arguments);
    }

    @Override
    int play() throws Exception {
        Store store = new Store();
        store.put("op/config", """
            {"version":3,"routes":[{"name":"lookup","host":"desk.example","prefix":"/look/","kind":"safe","timeoutMs":1500,
            "targetLatencyMs":150,"service":"desk","attempts":2,"priority":1}],
            "services":[{"name":"desk","maxConns":96,"healthPath":"/health","coldPerS":%s}],
            "limits":{"maxHeaderBytes":8192,"maxBodyBytes":65536,"headerTimeoutMs":2000,"idleTimeoutMs":8000}}""".formatted(COLD_PER_S));
        // Two seeds are stale in any case: machines that are gone, at whose addresses nothing listens.
        List<String> stale = List.of(Daemon.freeAddress(), Daemon.freeAddress());
        Daemon seed = daemon("front-sued-a-1", "sued-a", store, stale);
        List<String> seeds = List.of(seed.peers, stale.get(0), stale.get(1));
        Daemon first = daemon("front-ost-a-1", "ost-a", store, seeds);
        Daemon second = daemon("front-west-a-1", "west-a", store, seeds);
        for (Daemon each : List.of(seed, first, second)) each.start();
        for (Daemon each : List.of(seed, first, second)) if (!each.awaitReady(20_000)) return NOT_RUN;
        note("three machines are ready; of three seeds two are stale, and the third is " + seed.name);
        Thread.sleep(5_000);

        if (trouble) {
            seed.kill();
            note(seed.name + " is lost for good");
        }
        long lostAt = Clock.ms();
        Thread.sleep(500);
        Daemon spare = daemon("front-sued-a-2", "sued-a", store, seeds).start();
        note("a spare machine starts as " + spare.name + (trouble ? "; its seeds still name the lost machine" : ""));
        if (!spare.awaitReady(5_000)) return NOT_RUN;
        note(spare.name + " is ready");
        List<Daemon> serving = new ArrayList<>(List.of(first, second, spare));
        if (!trouble) serving.add(seed);

        ExecutorService threads = Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        });
        Worker worker = worker(store);
        worker.register();
        boolean isCorrected = !trouble;
        boolean isCold = false;
        long coldFrom = Long.MAX_VALUE;
        while (Clock.ms() < lostAt + 6_000 + COLD_MS) {
            if (!isCorrected && Clock.ms() >= lostAt + SEED_LAG_MS) {
                isCorrected = true;
                spare.writeSettings(List.of(first.peers, second.peers));
                note("the settings file of " + spare.name + " names " + first.name + " and " + second.name + " as seeds now; no signal");
            }
            if (!isCold && Clock.ms() >= lostAt + 6_000) {
                isCold = true;
                worker.setColdFor(COLD_MS);
                worker.register();
                coldFrom = Clock.ms();
                note("the worker becomes cold for " + COLD_MS + " ms");
            }
            for (Daemon each : serving) threads.submit(() -> request(each));
            Thread.sleep(1000 / RATE);
        }
        Thread.sleep(2_000);
        answers.forEach((daemon, byStatus) -> note(daemon + " answered " + new TreeMap<>(byStatus)));
        return check(worker, coldFrom);
    }

    private Daemon daemon(String name, String zone, Store store, List<String> seeds) throws IOException {
        return new Daemon(folder, name, "entry", zone, ZONES, store.address(), seeds, null, null);
    }

    private static Worker worker(Store store) throws IOException {
        return new Worker(store, "i-desk", "desk", "ost-a", 16) {
            @Override
            void serve(Connection connection, Wire.Message request) throws IOException, InterruptedException {
                note(request, true);
                Thread.sleep(20);
                connection.write(Wire.response(200, "ran".getBytes(), "Request-Id", request.field("Request-Id"),
                    "Response-Stamp", "stamp." + id, "Keep-Alive", "timeout=10"));
            }
        };
    }

    private void request(Daemon daemon) {
        long sent = Clock.ms();
        Client.Result result = Client.send(daemon.callers, "GET", "desk.example", "/look/1", 1500, new byte[0]);
        sentAt.put(result.request(), sent);
        answers.computeIfAbsent(daemon.name, it -> new ConcurrentHashMap<>()).computeIfAbsent(result.status(), it -> new AtomicInteger()).incrementAndGet();
    }

    /** Counts the requests that were sent and arrived inside a second while the worker was cold. */
    private int check(Worker worker, long coldFrom) {
        List<Worker.Arrival> cold = worker.arrivals.stream()
            .filter(it -> it.ran() && it.atMs() >= coldFrom && it.atMs() < coldFrom + COLD_MS)
            .sorted((one, other) -> Long.compare(one.atMs(), other.atMs()))
            .toList();
        int most = 0;
        long mostFrom = 0;
        for (Worker.Arrival start : cold) {
            long from = start.atMs();
            int count = 0;
            for (Worker.Arrival each : cold) {
                Long sent = sentAt.get(each.request());
                if (sent != null && sent >= from && each.atMs() < from + 1000) count++;
            }
            if (count > most) {
                most = count;
                mostFrom = from;
            }
        }
        for (long from = coldFrom; from < coldFrom + COLD_MS; from += 1000) {
            long start = from;
            long count = cold.stream().filter(it -> it.atMs() >= start && it.atMs() < start + 1000).count();
            note("arrivals from " + (start - coldFrom) + " ms on, in one second: " + count);
        }
        note("most that were sent and arrived inside one second at the cold worker: " + most + ", from " + (mostFrom - coldFrom)
            + " ms on; bound " + BOUND);
        return most > BOUND ? BROKEN : HELD;
    }
}
