package review2;

import java.util.List;
import java.util.Map;

/** A daemon that gets SIGHUP while it starts. */
final class EarlyHup extends Run {
    private static final Map<String, String> ZONES = Map.of("ost-a", "ost");

    public static void main(String[] arguments) throws Exception {
        new EarlyHup().run(arguments);
    }

    @Override
    int play() throws Exception {
        Store store = new Store();
        store.put("op/config", "{\"version\":3,\"routes\":[],\"services\":[],\"limits\":{}}");
        int ended = 0;
        for (int delay : new int[] {50, 100, 200, 300, 400, 500, 600}) {
            Daemon daemon = new Daemon(folder, "front-" + delay, "entry", "ost-a", ZONES, store.address(), List.of(), null, null);
            daemon.start();
            Thread.sleep(delay);
            if (trouble) daemon.signal("HUP");
            boolean isReady = daemon.awaitReady(5_000);
            boolean isAlive = daemon.process.isAlive();
            note("SIGHUP " + delay + " ms after the start: " + (isAlive ? "alive, ready " + isReady : "ended with status " + daemon.process.exitValue()));
            if (!isAlive) ended++;
            daemon.kill();
        }
        return ended > 0 ? BROKEN : HELD;
    }
}
