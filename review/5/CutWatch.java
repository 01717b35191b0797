/*
 * The store cuts the watches that are waiting, and shortly after it a worker leaves that never reports draining.
 */
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

final class CutWatch {
    private static final List<String> ZONES = List.of("ost-a", "west-a", "sued-a");

    /** With them one worker of eight leaves, which is inside the share of a scale_in. */
    private static final int MORE_WORKERS = 5;
    private static final int WORK_MS = 300;

    /** The entry of the worker is removed this long after the watches were cut. */
    private static final long REMOVED_AFTER_MS = 200;

    /** Each client sends an order this long after its last one. */
    private static final long ORDER_GAP_MS = 2_600;
    private static final int ORDERS = 4;

    /** The worker goes on serving for drainMs and this little longer. */
    private static final long LITTLE_LONGER_MS = 350;

    private CutWatch() {}

    public static void main(String[] arguments) {
        Case.run("review/5", CutWatch::run);
    }

    private static String run(Record record, boolean trouble) throws Exception {
        Map<String, Integer> statuses = new ConcurrentHashMap<>();
        long removedAt;
        String leaverId;
        try (Site site = new Site(record, ZONES.toArray(new String[0]))) {
            List<Worker> workers = new ArrayList<>();
            for (String zone : ZONES) workers.add(new Worker("i-desk-" + zone, "entry-desk", zone, 6, WORK_MS, 800, record));
            for (int more = 0; more < MORE_WORKERS; more++) {
                String zone = ZONES.get(1 + more % 2);
                workers.add(new Worker("i-desk-" + zone + "-" + more, "entry-desk", zone, 6, WORK_MS, 800, record));
            }
            for (Worker worker : workers) site.store.put(worker.key(), worker.entry("ready"));
            site.store.put("op/config", configuration());
            site.start();
            Site.sleep(Site.CONTACT_MS + 1_000);

            Worker leaver = workers.get(0);
            leaverId = leaver.id;
            long firstAt = System.currentTimeMillis() + 500;
            List<Thread> clients = new ArrayList<>();
            for (int zone = 0; zone < ZONES.size(); zone++) {
                Site.Daemon daemon = site.daemons.get(zone);
                int client = zone;
                Thread thread = new Thread(() -> order(daemon, client, firstAt, statuses, record));
                thread.start();
                clients.add(thread);
            }
            // The second order of each client is answered before, the third one is sent after drainMs.
            long removal = firstAt + 2 * ORDER_GAP_MS - Site.DRAIN_MS - 100;
            Site.sleepUntil(removal - REMOVED_AFTER_MS);
            if (trouble) record.add("cut", site.store.cutWatches() + " watches that were waiting");
            Site.sleepUntil(removal);
            leaver.leave();
            site.store.remove(leaver.key());
            removedAt = System.currentTimeMillis();
            record.add("removed", leaver.key());
            Site.sleepUntil(removedAt + Site.DRAIN_MS + LITTLE_LONGER_MS);
            leaver.close();
            record.add("exit", leaver.id);
            for (Thread thread : clients) thread.join();
            for (Worker worker : workers) worker.close();
        }
        long late = record.arrivals.stream().filter(it -> it.worker().equals(leaverId) && it.atMs() > removedAt + Site.DRAIN_MS).count();
        long lost =
                record.arrivals.stream()
                        .filter(it -> it.worker().equals(leaverId) && it.atMs() > removedAt + Site.DRAIN_MS && statuses.getOrDefault(it.request(), 0) != 200)
                        .count();
        return late == 0 ? null : late + " orders reached the worker later than drainMs after its entry was removed, " + lost + " of them were lost";
    }

    private static void order(Site.Daemon daemon, int client, long firstAt, Map<String, Integer> statuses, Record record) {
        for (int number = 0; number < ORDERS; number++) {
            Site.sleepUntil(firstAt + number * ORDER_GAP_MS);
            String id = String.format("%08x%08x", client + 1, number + 1);
            record.add("sent", "request=" + id + " daemon=" + daemon.name);
            Caller.Answer answer = Caller.once(daemon.callers, "POST", "desk.example", "/orders/1", id, "key-moha");
            statuses.put(id, answer.status());
            record.add("answered", "request=" + id + " daemon=" + daemon.name + " status=" + answer.status());
        }
    }

    private static String configuration() {
        return "{\"version\":100,\"routes\":[{\"name\":\"order\",\"host\":\"desk.example\",\"prefix\":\"/orders/\",\"kind\":\"unsafe\","
                + "\"timeoutMs\":1500,\"targetLatencyMs\":400,\"attempts\":1,\"priority\":2,\"service\":\"entry-desk\"}],"
                + "\"services\":[{\"name\":\"entry-desk\",\"maxConns\":96,\"healthPath\":\"/health\"}],"
                + "\"tenants\":[{\"name\":\"moha\",\"apiKeys\":[\"key-moha\"]}],"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":65536,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
    }
}
