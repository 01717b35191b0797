package review2;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** CONFIG: the store comes back from a copy that lacks the newest configuration, which had taken a key away. */
final class RestoredKey extends Run {
    private static final int CONTACT_MS = 3_000;
    private static final int CONFIG_MS = 2_000;
    private static final int AWAY_MS = 1_000;
    private static final int WRITTEN_AGAIN_MS = 5_000;
    private static final Map<String, String> ZONES = Map.of("ost-a", "ost", "west-a", "west");

    private record Sent(String daemon, long atMs) {}

    private final Map<String, Sent> sent = new ConcurrentHashMap<>();

    public static void main(String[] arguments) throws Exception {
        new RestoredKey().run(arguments);
    }

    private static String configuration(int version, String keys) {
        return """
            {"version":%d,"routes":[{"name":"payment","host":"desk.example","prefix":"/pay/","kind":"unsafe","timeoutMs":1500,
            "targetLatencyMs":150,"service":"desk","attempts":2,"priority":1}],
            "services":[{"name":"desk","maxConns":96,"healthPath":"/health"}],
            "tenants":[{"name":"press","apiKeys":[%s]}],
            "limits":{"maxHeaderBytes":8192,"maxBodyBytes":65536,"headerTimeoutMs":2000,"idleTimeoutMs":8000}}""".formatted(version, keys);
    }

    @Override
    int play() throws Exception {
        Store store = new Store();
        store.stateEra(4);
        store.put("op/config", configuration(3, "\"key-kept\",\"key-taken\""));
        Worker worker = new Worker(store, "i-desk", "desk", "ost-a", 6);
        worker.register();
        Daemon first = new Daemon(folder, "front-ost-a-1", "entry", "ost-a", ZONES, store.address(), List.of(), null, null);
        Daemon second = new Daemon(folder, "front-west-a-1", "entry", "west-a", ZONES, store.address(), List.of(first.peers), null, null);
        first.start();
        second.start();
        if (!first.awaitReady(20_000) || !second.awaitReady(20_000)) return NOT_RUN;
        ExecutorService threads = Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        });
        Clock.sleepUntil(Clock.ms() + 3_500);
        Store.Copy copy = store.copy();
        long copiedAt = Clock.ms();
        Thread.sleep(2_000);
        store.put("op/config", configuration(5, "\"key-kept\""));
        long takenAt = Clock.ms();
        note("configuration 5, which takes key-taken away, is acknowledged");
        Thread.sleep(4_000);
        long backAt = Clock.ms() + AWAY_MS;
        if (trouble) {
            store.setAway(true);
            note("the store is away");
        }
        boolean isBack = false;
        boolean isWrittenAgain = false;
        while (Clock.ms() < backAt + 9_000) {
            if (trouble && !isBack && Clock.ms() >= backAt) {
                isBack = true;
                store.restore(copy);
                store.setAway(false);
                backAt = Clock.ms();
                note("the store is back from a copy that is " + (backAt - copiedAt) + " ms old; Store-Era rises by one");
            }
            if (trouble && isBack && !isWrittenAgain && Clock.ms() >= backAt + WRITTEN_AGAIN_MS) {
                isWrittenAgain = true;
                store.put("op/config", configuration(5, "\"key-kept\""));
                note("the operator has written configuration 5 again");
            }
            for (Daemon each : List.of(first, second)) threads.submit(() -> pay(each, "key-taken"));
            for (Daemon each : List.of(first, second)) threads.submit(() -> pay(each, "key-kept"));
            Thread.sleep(100);
        }
        Thread.sleep(2_000);
        return check(worker, takenAt, backAt);
    }

    private void pay(Daemon daemon, String key) {
        long at = Clock.ms();
        Client.Result result = Client.send(daemon.callers, "POST", "desk.example", "/pay/" + key, 1500, "order".getBytes(), "X-Api-Key", key);
        sent.put(result.request(), new Sent(daemon.name, at));
        if (key.equals("key-taken")) note(daemon.name + " " + key + " " + result.request() + " sent at " + at + " ms: " + result.status());
    }

    private int check(Worker worker, long takenAt, long backAt) {
        long ran = 0;
        long counted = 0;
        for (Worker.Arrival each : worker.arrivals) {
            if (!each.path().equals("/pay/key-taken")) continue;
            Sent by = sent.get(each.request());
            if (by == null || by.atMs() < takenAt + CONFIG_MS) continue;
            ran++;
            boolean inTouch = !trouble || by.atMs() < backAt - AWAY_MS || by.atMs() >= backAt + CONTACT_MS;
            if (inTouch) counted++;
            note("the worker ran " + each.request() + " of key-taken by " + by.daemon() + ", sent " + (by.atMs() - takenAt)
                + " ms after the acknowledgement, in touch: " + inTouch);
        }
        note("runs with the key that was taken away, sent later than " + CONFIG_MS + " ms after the acknowledgement: " + ran + ", by machines in touch: " + counted);
        return counted > 0 ? BROKEN : HELD;
    }
}
