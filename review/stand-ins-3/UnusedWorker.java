import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A worker is cut off from the store for five seconds, so that its entry lapses. The store then comes back from a copy that still has the
 * entry, and the worker goes on writing it.
 */
final class UnusedWorker {
    private static final long HEARTBEAT_MS = 1200;
    private static final String KEY = "jnbanfqasnmgkcuyj8pj";
    private static final Map<String, String> ENTRIES = new ConcurrentHashMap<>();
    private static volatile String cutOff = "";

    public static void main(String[] arguments) {
        Site.play(UnusedWorker::holds);
    }

    private static String configuration(int version, boolean added) {
        List<String> routes = new ArrayList<>();
        routes.add(Site.route("r-js2eek2", "/filo73/", "unsafe", 1, "wuno96b"));
        if (added) routes.add(Site.route("r-2xp4zhp", "/boye614/", "unsafe", 1, "gowu98c"));
        return Site.configuration(version, routes, List.of(Site.service("wuno96b"), Site.service("gowu98c")), List.of(Site.tenant("bozi300", KEY)));
    }

    private static void register(Lab.Store store, Site.Runs runs, String id, String service, String zone) throws Exception {
        ENTRIES.put(id, runs.worker(id).entry(service, zone, "ready", 1_796_000_000_000L, 1));
        store.put("servers/" + id, ENTRIES.get(id));
    }

    private static void beat(Lab.Store store) {
        for (int seq = 2; ; seq++) {
            Lab.sleep(HEARTBEAT_MS);
            for (Map.Entry<String, String> entry : ENTRIES.entrySet()) {
                if (!entry.getKey().equals(cutOff)) store.beat("servers/" + entry.getKey(), entry.getValue().replace("\"seq\":1", "\"seq\":" + seq));
            }
        }
    }

    private static boolean holds(Path folder, boolean trouble) throws Exception {
        Lab.Store store = new Lab.Store();
        store.put("op/config", configuration(7, false));
        Site.Runs runs = new Site.Runs();
        String[] zones = {"ost-a", "west-a", "sued-a"};
        for (String zone : zones) register(store, runs, "i-desk-" + zone, "wuno96b", zone);
        register(store, runs, "i-desk-more", "wuno96b", "ost-a");
        register(store, runs, "i-office", "gowu98c", "sued-a");
        Lab.background(() -> beat(store));
        List<Lab.Daemon> entries = Lab.entries(folder, store.address, zones);
        for (Lab.Daemon entry : entries) entry.start();
        for (Lab.Daemon entry : entries) if (!entry.awaitReady(20)) throw new IllegalStateException(entry.name + " is not ready");
        Lab.sleep(4000);
        store.put("op/config", configuration(11, true));
        Lab.note("the store acknowledges version 11, which adds the route r-2xp4zhp to the service of worker i-office");
        Lab.sleep(6000);
        for (Lab.Daemon entry : entries) {
            String id = Site.send(entry, "/boye614/2f", KEY, Site.answers());
            if (runs.of(id) != 1) throw new IllegalStateException("the added route was not served before the disruption");
        }
        if (trouble) disrupt(store);
        Lab.sleep(12_000);
        int first = 0;
        int added = 0;
        int each = 0;
        for (int round = 0; round < 10; round++) {
            for (Lab.Daemon entry : entries) {
                each++;
                first += runs.of(Site.send(entry, "/filo73/2f", KEY, Site.answers()));
                added += runs.of(Site.send(entry, "/boye614/2f", KEY, Site.answers()));
            }
            Lab.sleep(2000);
        }
        Lab.note("served of " + each + " requests each: " + first + " on the first route, " + added + " on the added one");
        if (first == 0) throw new IllegalStateException("nothing was served");
        return added * 4 >= first;
    }

    private static void disrupt(Lab.Store store) {
        Lab.Store.Copy copy = store.copy();
        Lab.note("the copy of the store is as of now");
        cutOff = "i-office";
        Lab.note("worker i-office is cut off from the store, not from the entry daemons");
        Lab.sleep(3 * HEARTBEAT_MS);
        store.remove("servers/i-office");
        Lab.note("the entry of i-office lapses after three heartbeat intervals");
        Lab.sleep(700);
        store.leave();
        Lab.note("the store is away");
        Lab.sleep(500);
        store.comeBack(copy);
        Lab.note("the store is back from the copy");
        cutOff = "";
        Lab.note("worker i-office reaches the store again and goes on writing its entry, of which only seq changes");
    }
}
