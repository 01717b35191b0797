/*
 * The store gives no response to two of six daemons, those that read it last, while the operator withdraws a key and moves a route.
 */
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

final class SilentStore {
    private static final List<String> ZONES = List.of("ost-a", "west-a");
    private static final long OBSERVED_MS = 8_000;
    private static final long CUT_AFTER_MS = 300;
    private static final long CHANGE_AFTER_MS = 200;

    private SilentStore() {}

    public static void main(String[] arguments) {
        Case.run("review/3", SilentStore::run);
    }

    private static String run(Record record, boolean trouble) throws Exception {
        Set<String> sentLate = ConcurrentHashMap.newKeySet();
        try (Site site = new Site(record, "ost-a", "ost-a", "ost-a", "west-a", "west-a", "west-a")) {
            List<Worker> workers = new ArrayList<>();
            for (String zone : ZONES) workers.add(new Worker("i-desk-" + zone, "entry-desk", zone, 6, 30, 800, record));
            workers.add(new Worker("i-jury", "jury-office", "ost-a", 8, 30, 800, record));
            for (Worker worker : workers) site.store.put(worker.key(), worker.entry("ready"));
            site.store.put("op/config", configuration(100, "entry-desk", true, 800));
            site.start();
            Site.sleep(Site.CONTACT_MS + 2_000);

            site.store.put("op/config", configuration(103, "entry-desk", true, 900));
            record.add("config", "version 103: another time-out");
            Site.sleep(CUT_AFTER_MS);
            List<Site.Daemon> silenced = new ArrayList<>();
            for (String zone : ZONES) {
                Site.Daemon last =
                        site.daemons.stream().filter(it -> it.zone.equals(zone)).max(Comparator.comparing(it -> site.store.lastAnswerMs(it.name))).orElseThrow();
                record.add("reader", last.name + " read the store last in " + zone);
                silenced.add(last);
                if (trouble) site.store.cutOff(last.name);
            }
            if (trouble) record.add("silent", "no more responses of the store to " + silenced.stream().map(it -> it.name).toList());
            Site.sleep(CHANGE_AFTER_MS);

            site.store.put("op/config", configuration(107, "jury-office", false, 900));
            long acknowledgedAt = System.currentTimeMillis();
            record.add("config", "version 107: the route leads to jury-office, the key of tenant bozi is withdrawn");
            AtomicInteger number = new AtomicInteger();
            List<Thread> clients = new ArrayList<>();
            for (Site.Daemon daemon : site.daemons) {
                if (silenced.contains(daemon)) continue;
                Thread client = new Thread(() -> callUntil(daemon, acknowledgedAt, number, sentLate, record));
                client.start();
                clients.add(client);
            }
            for (Thread client : clients) client.join();
            for (Worker worker : workers) worker.close();
        }
        long byOldService = record.arrivals.stream().filter(it -> sentLate.contains(it.request()) && it.service().equals("entry-desk")).count();
        long withOldKey = record.arrivals.stream().filter(it -> sentLate.contains(it.request()) && "bozi".equals(it.tenant())).count();
        if (byOldService == 0 && withOldKey == 0) return null;
        return "at daemons that the store serves, " + byOldService + " requests that were sent later than configMs after the acknowledgement were run by "
                + "the old service, " + withOldKey + " of them with the withdrawn key";
    }

    private static void callUntil(Site.Daemon daemon, long acknowledgedAt, AtomicInteger number, Set<String> sentLate, Record record) {
        while (System.currentTimeMillis() < acknowledgedAt + OBSERVED_MS) {
            for (String key : List.of("key-moha", "key-bozi")) {
                String id = String.format("%016x", number.incrementAndGet());
                if (System.currentTimeMillis() > acknowledgedAt + Site.CONFIG_MS) sentLate.add(id);
                Caller.Answer answer = Caller.once(daemon.callers, "POST", "desk.example", "/orders/1", id, key);
                record.add("answered", "request=" + id + " daemon=" + daemon.name + " key=" + key + " status=" + answer.status());
            }
            Site.sleep(100);
        }
    }

    private static String configuration(int version, String service, boolean withBozi, int timeoutMs) {
        String tenants = "{\"name\":\"moha\",\"apiKeys\":[\"key-moha\"]}" + (withBozi ? ",{\"name\":\"bozi\",\"apiKeys\":[\"key-bozi\"]}" : "");
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"order\",\"host\":\"desk.example\",\"prefix\":\"/orders/\",\"kind\":\"unsafe\","
                + "\"timeoutMs\":" + timeoutMs + ",\"targetLatencyMs\":150,\"attempts\":1,\"priority\":2,\"service\":\"" + service + "\"}],"
                + "\"services\":[{\"name\":\"entry-desk\",\"maxConns\":96,\"healthPath\":\"/health\"},"
                + "{\"name\":\"jury-office\",\"maxConns\":48,\"healthPath\":\"/health\"}],\"tenants\":[" + tenants + "],"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":65536,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
    }
}
