/*
 * A small deployment on the loopback interface: entry daemons as processes of their own, started with the command of the deploy
 * file, and the stand-in of the store that they read.
 */
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

final class Site implements AutoCloseable {
    /** The case could not be run; this says nothing about the rule. */
    static final class CannotRun extends RuntimeException {
        CannotRun(String message) {
            super(message);
        }
    }

    /** The bounds of the sheet that the checks use, in milliseconds. */
    static final long CONTACT_MS = 3_000;
    static final long CONFIG_MS = 2_000;
    static final long DRAIN_MS = 2_000;
    static final long GRACE_MS = 8_000;

    /** The service of the model workers. */
    static final String MODEL_SERVICE = "most-llm";

    static final class Daemon {
        final String name;
        final String zone;
        final String callers;
        private final String ready;
        private final String peers;
        private final String operators;
        private final String store;

        /** The address of the worker on the machine of this daemon; null at an entry daemon. */
        private final String worker;
        private Process process;

        private Daemon(String name, String zone, String store, String worker) {
            this.name = name;
            this.zone = zone;
            this.callers = freeAddress();
            this.ready = freeAddress();
            this.peers = freeAddress();
            this.operators = freeAddress();
            this.store = store;
            this.worker = worker;
        }

        boolean isReady() {
            return Caller.once(ready, "GET", "ready", "/lagoonrudder/ready", "ready", null).status() == 200;
        }

        /** Sends SIGTERM. */
        void stop() {
            process.destroy();
        }

        /** Returns whether the process has ended within a time. */
        boolean hasEnded(long withinMs) throws InterruptedException {
            return process.waitFor(withinMs, TimeUnit.MILLISECONDS);
        }

        void kill() {
            process.destroyForcibly();
        }
    }

    private static final Random RANDOM = new Random();
    private static final Set<Integer> USED_PORTS = new HashSet<>();
    private static final long START_LIMIT_MS = 30_000;

    final Store store = new Store();
    final List<Daemon> daemons = new ArrayList<>();

    /** The target daemons, one beside each model worker. */
    final List<Daemon> targets = new ArrayList<>();
    private final Path folder;
    private final Record record;
    private final Map<String, String> regions = new LinkedHashMap<>();

    /** Creates a site with an entry daemon for each of [zones], which may name a zone several times. */
    Site(Record record, String... zones) throws IOException {
        this.record = record;
        this.folder = Files.createTempDirectory("review");
        int number = 0;
        for (String zone : zones) {
            String name = "front-" + zone + "-" + ++number;
            regions.put(zone, zone.replace("-a", ""));
            daemons.add(new Daemon(name, zone, store.listenFor(name), null));
        }
    }

    /** Adds the target daemon of a model worker. */
    void addTarget(String zone, String worker) throws IOException {
        String name = "side-" + zone + "-" + (targets.size() + 1);
        targets.add(new Daemon(name, zone, store.listenFor(name), worker));
    }

    /** Starts all daemons and waits until each entry daemon is ready. */
    void start() throws IOException, InterruptedException {
        for (Daemon daemon : daemons) start(daemon);
        for (Daemon target : targets) start(target);
        long until = System.currentTimeMillis() + START_LIMIT_MS;
        for (Daemon daemon : daemons) {
            while (!daemon.isReady()) {
                if (System.currentTimeMillis() > until) throw new CannotRun(daemon.name + " is not ready in time, last lines: " + tail(daemon));
                sleep(100);
            }
            record.add("ready", daemon.name);
        }
    }

    void start(Daemon daemon) throws IOException {
        Path settings = folder.resolve(daemon.name + ".ini");
        Files.writeString(settings, settings(daemon));
        List<String> command = new ArrayList<>();
        for (String word : command(daemon.worker == null ? "entry" : "target").split(" ")) command.add(word.equals("/etc/lagoonrudder/settings.yaml") ? settings.toString() : word);
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(daemon.name + ".log").toFile()));
        daemon.process = builder.start();
        record.add("started", daemon.name + " pid=" + daemon.process.pid());
    }

    private String tail(Daemon daemon) throws IOException {
        List<String> lines = Files.readAllLines(folder.resolve(daemon.name + ".log"));
        return String.join(" | ", lines.subList(Math.max(0, lines.size() - 5), lines.size()));
    }

    @Override
    public void close() {
        List<Daemon> all = new ArrayList<>(daemons);
        all.addAll(targets);
        for (Daemon daemon : all) if (daemon.process != null) daemon.kill();
        for (Daemon daemon : all) {
            try {
                if (daemon.process != null) daemon.process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
        store.close();
        String kept = System.getenv("KEEP_LOGS");
        try (Stream<Path> files = Files.walk(folder)) {
            if (kept == null) for (Path path : files.sorted(Comparator.reverseOrder()).toList()) Files.delete(path);
        } catch (IOException ignored) {
            // Temporary files may stay.
        }
    }

    /** Returns the command of a role in the deploy file. */
    private static String command(String role) throws IOException {
        boolean inRole = false;
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("[")) inRole = line.equals("[roles." + role + "]");
            if (inRole && line.startsWith("run = ")) return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        }
        throw new CannotRun("deploy/system.toml has no command of the role " + role);
    }

    private String settings(Daemon daemon) {
        List<String> lines = new ArrayList<>();
        lines.add("[daemon]\nname = " + daemon.name + "\nrole = " + (daemon.worker == null ? "entry" : "target") + "\ndomain = " + daemon.zone + "\nregion = " + regions.get(daemon.zone));
        lines.add("\n[domains]");
        regions.forEach((zone, region) -> lines.add(zone + " = " + region));
        if (daemon.worker == null) lines.add("\n[listen]\ncallers = " + daemon.callers + "\nready = " + daemon.ready + "\npeers = " + daemon.peers);
        lines.add("\n[operators]\naddress = " + daemon.operators);
        lines.add("\n[peers]\nseeds = " + String.join(",", daemons.stream().limit(3).map(it -> it.peers).toList()));
        lines.add("\n[store]\naddress = " + daemon.store);
        lines.add("\n[slot]\nback-end = " + (daemon.worker == null ? "" : daemon.worker) + "\nservice = " + (daemon.worker == null ? "" : MODEL_SERVICE));
        lines.add("\n[bounds]\nversion = 8000ms\ncold-ratio = 1.5\ncold-allowance = 5\nrepeat-ratio = 0.2\nrepeat-window = 10s");
        lines.add("repeat-allowance = 100\nstop-grace = 8s\n");
        return String.join("\n", lines);
    }

    /** Returns an address whose port the system doesn't give to outgoing connections, and which no other daemon has got. */
    private static String freeAddress() {
        while (true) {
            int port = 20_000 + RANDOM.nextInt(10_000);
            if (!USED_PORTS.add(port)) continue;
            try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return "127.0.0.1:" + probe.getLocalPort();
            } catch (IOException taken) {
                // The next one may be free.
            }
        }
    }

    static void sleep(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    static void sleepUntil(long timeMs) {
        long left = timeMs - System.currentTimeMillis();
        if (left > 0) sleep(left);
    }
}
