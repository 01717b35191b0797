import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The operator takes away the keys of all tenants, one after the other; tenants without a key are no longer listed. */
final class LastKey {
    private static final long CONFIG_MS = 2000;
    private static final List<String> KEYS = List.of("jnbanfqasnmgkcuyj8pj", "bvk9m68k7b2ex5wa5xwy", "q6xw2tm4rzc8vd5hy7sk");
    private static final List<String> NAMES = List.of("bozi300", "deku411", "fami522");

    public static void main(String[] arguments) {
        Site.play(LastKey::holds);
    }

    private static String configuration(int version, int from) {
        List<String> tenants = new ArrayList<>();
        for (int index = from; index < KEYS.size(); index++) tenants.add(Site.tenant(NAMES.get(index), KEYS.get(index)));
        return Site.configuration(version, List.of(Site.route("r-js2eek2", "/filo73/", "unsafe", 1, "wuno96b")), List.of(Site.service("wuno96b")), tenants);
    }

    private static boolean holds(Path folder, boolean trouble) throws Exception {
        Lab.Store store = new Lab.Store();
        store.put("op/config", configuration(7, 0));
        Site.Runs runs = new Site.Runs();
        String[] zones = {"ost-a", "west-a", "sued-a"};
        for (String zone : zones) {
            Lab.Worker worker = runs.worker("i-" + zone);
            store.put("servers/" + worker.id, worker.entry("wuno96b", zone, "ready", 1_796_000_000_000L, 1));
        }
        List<Lab.Daemon> entries = Lab.entries(folder, store.address, zones);
        for (Lab.Daemon entry : entries) entry.start();
        for (Lab.Daemon entry : entries) if (!entry.awaitReady(20)) throw new IllegalStateException(entry.name + " is not ready");
        Lab.sleep(4000);
        Map<String, Integer> before = Site.answers();
        for (Lab.Daemon entry : entries) {
            for (String key : KEYS) {
                String id = Site.pay(entry, key, before);
                if (before.get(id) != 200 || runs.of(id) != 1) throw new IllegalStateException("a sound request was not served");
            }
        }
        if (trouble) {
            for (int taken = 1; taken <= KEYS.size(); taken++) {
                store.put("op/config", configuration(7 + 3 * taken, taken));
                Lab.note("the store acknowledges version " + (7 + 3 * taken) + ", without the key " + KEYS.get(taken - 1));
                Lab.sleep(300);
            }
        }
        Lab.sleep(CONFIG_MS + 3000);
        Map<String, Integer> answers = Site.answers();
        List<String> forbidden = new ArrayList<>();
        for (Lab.Daemon entry : entries) {
            for (String key : KEYS) {
                String id = Site.pay(entry, key, answers);
                if (trouble) forbidden.add(id);
            }
            forbidden.add(Site.pay(entry, "zzneverheldbyanyone1", answers));
            forbidden.add(Site.pay(entry, null, answers));
        }
        long ran = forbidden.stream().filter(id -> runs.of(id) > 0).count();
        Lab.note(ran + " of " + forbidden.size() + " requests ran without a key that the configuration in force holds");
        return ran == 0;
    }
}
