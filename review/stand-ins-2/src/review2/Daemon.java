package review2;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** One daemon of the project as a process of its own, with the command of the deploy file and settings of a small deployment. */
final class Daemon implements AutoCloseable {
    private static final Set<Integer> USED = new HashSet<>();
    private static final List<Daemon> ALL = new ArrayList<>();

    static {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> ALL.forEach(Daemon::end)));
    }

    final String name;
    final String role;
    final String zone;
    final String callers = freeAddress();
    final String ready = freeAddress();
    final String peers = freeAddress();
    final String chunks = freeAddress();
    final String operators = freeAddress();
    private final Path settings;
    private final Path log;
    private final Map<String, String> zones;
    private final String store;
    private final String slot;
    private final String service;
    Process process;

    /**
     * [zones] maps each zone to its region. [slot] is the address of the worker beside a target daemon with its service, or null. The
     * bounds are those of the small deployments (festbewerb-rudder).
     */
    Daemon(Path folder, String name, String role, String zone, Map<String, String> zones, String store, List<String> seeds, String slot, String service)
        throws IOException {
        this.name = name;
        this.role = role;
        this.zone = zone;
        settings = folder.resolve(name + ".ini");
        log = folder.resolve(name + ".log");
        this.zones = zones;
        this.store = store;
        this.slot = slot;
        this.service = service;
        writeSettings(seeds);
        synchronized (ALL) {
            ALL.add(this);
        }
    }

    /** Writes the settings file as the platform fills in the template, with [seeds]. The process is not told. */
    void writeSettings(List<String> seeds) throws IOException {
        StringBuilder domains = new StringBuilder();
        zones.forEach((each, region) -> domains.append(each).append(" = ").append(region).append('\n'));
        Files.writeString(settings, "[daemon]\nname = " + name + "\nrole = " + role + "\ndomain = " + zone + "\nregion = " + zones.get(zone)
            + "\n\n[domains]\n" + domains
            + "\n[listen]\ncallers = " + callers + "\nready = " + ready + "\npeers = " + peers + "\nchunks = " + chunks
            + "\n\n[operators]\naddress = " + operators
            + "\n\n[peers]\nseeds = " + String.join(",", seeds)
            + "\n\n[store]\naddress = " + store
            + "\n\n[slot]\nback-end = " + (slot == null ? "" : slot) + "\nservice = " + (service == null ? "" : service)
            + "\n\n[bounds]\nversion = 8000ms\ncontact = 3000ms\ncold-ratio = 1.5\ncold-allowance = 5\nrepeat-ratio = 0.2\n"
            + "repeat-window = 10s\nrepeat-allowance = 100\nstop-grace = 8s\n");
    }

    Daemon start() throws IOException {
        List<String> command = new ArrayList<>(List.of(command(role).split(" +")));
        command.replaceAll(word -> word.equals("/etc/lagoonrudder/settings.yaml") ? settings.toString() : word);
        process = new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile())).start();
        return this;
    }

    /** Returns the command of the role in the deploy file. */
    private static String command(String role) throws IOException {
        boolean inRole = false;
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("[")) inRole = line.equals("[roles." + role + "]");
            if (inRole && line.startsWith("run = \"")) return line.substring("run = \"".length(), line.lastIndexOf('"'));
        }
        throw new IOException("no command of role " + role + " in deploy/system.toml");
    }

    /** Sends a signal by its name, such as TERM, HUP, STOP or CONT. */
    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
    }

    void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor(5, TimeUnit.SECONDS);
    }

    boolean awaitReady(long limitMs) throws InterruptedException {
        long until = Clock.ms() + limitMs;
        while (Clock.ms() < until) {
            if (process.isAlive() && Client.isReady(ready)) return true;
            Thread.sleep(50);
        }
        return false;
    }

    String log() throws IOException {
        return Files.exists(log) ? Files.readString(log) : "";
    }

    private void end() {
        if (process != null) process.destroyForcibly();
    }

    @Override
    public void close() {
        end();
    }

    /** Returns a free address below the range from which the system takes ports of outgoing connections. */
    static synchronized String freeAddress() {
        java.util.Random random = new java.util.Random();
        while (true) {
            int port = 10_000 + random.nextInt(20_000);
            if (!USED.add(port)) continue;
            try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return "127.0.0.1:" + port;
            } catch (IOException taken) {
                // Another process has it.
            }
        }
    }
}
