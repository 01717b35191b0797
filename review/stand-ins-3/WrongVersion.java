import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * All machines lose power and come back, and no version was declared yet. The first manifest that the origin sends then is corrupted:
 * one bit of its version differs. With and without the disruption the origin is silent for a second before that answer.
 */
final class WrongVersion {
    private static final int PIECES = 48;
    private static final int PIECE_BYTES = 49_152;
    private static final int LAYERS = 16;
    private static final long DOWN_MS = 1400;
    private static final int RECOVER_S = 12;
    private static final String MODEL = "daka510000";
    private static final String SERVICE = "huvo11a";
    private static final String KEY = "jnbanfqasnmgkcuyj8pj";
    private static final byte[][] WEIGHTS = weights();
    private static final AtomicInteger ORIGIN_ANSWERS = new AtomicInteger();
    private static volatile boolean corrupts;
    private static boolean firstNext;

    public static void main(String[] arguments) {
        Site.play(WrongVersion::holds);
    }

    private static byte[][] weights() {
        byte[][] pieces = new byte[PIECES][PIECE_BYTES];
        for (int index = 0; index < PIECES; index++) new Random(index).nextBytes(pieces[index]);
        return pieces;
    }

    private static String manifest() {
        List<String> digests = new ArrayList<>();
        try {
            for (byte[] piece : WEIGHTS) digests.add("\"" + HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(piece)) + "\"");
        } catch (NoSuchAlgorithmException missing) {
            throw new IllegalStateException(missing);
        }
        return "{\"model\":\"" + MODEL + "\",\"version\":1,\"chunkBytes\":" + PIECE_BYTES + ",\"layers\":" + LAYERS + ",\"digests\":["
            + String.join(",", digests) + "]}";
    }

    private static void answer(OutputStream out, String status, byte[] body) throws IOException {
        out.write(("HTTP/1.1 " + status + "\r\nContent-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        out.flush();
    }

    private static boolean origin(Lab.Message request, Socket connection, OutputStream out) throws IOException {
        String target = request.first.split(" ")[1];
        ORIGIN_ANSWERS.incrementAndGet();
        boolean isNamed = !target.contains("version=") || target.matches(".*version=1(&.*)?");
        if (!isNamed) {
            answer(out, "404 Not Found", new byte[0]);
            return true;
        }
        if (target.contains("/piece/")) {
            answer(out, "200 OK", WEIGHTS[Integer.parseInt(target.replaceAll(".*num=(\\d+).*", "$1"))]);
            return true;
        }
        String body = manifest();
        boolean isFirst = takeFirst();
        if (isFirst) {
            Lab.sleep(1000);
            Lab.note("the origin goes on after a second of silence");
        }
        if (isFirst && corrupts) {
            body = body.replace("\"version\":1", "\"version\":3");
            Lab.note("the origin answers " + target + " with one bit spoilt: version 3 in place of 1");
        } else {
            Lab.note("the origin answers " + target);
        }
        answer(out, "200 OK", body.getBytes(StandardCharsets.ISO_8859_1));
        return true;
    }

    private static synchronized boolean takeFirst() {
        boolean first = firstNext;
        firstNext = false;
        return first;
    }

    /** A model worker with its staged pieces. A loss of power takes both. */
    private static final class ModelWorker {
        final String id;
        final String zone;
        final Lab.Worker server;
        private final Site.Runs runs;
        private byte[][] staged = WEIGHTS.clone();
        private long born = System.currentTimeMillis();
        private long orders;
        private boolean holds = true;
        private double loadedAt;
        private volatile boolean dark;

        ModelWorker(String id, String zone, Site.Runs runs) throws IOException {
            this.id = id;
            this.zone = zone;
            this.runs = runs;
            server = new Lab.Worker(id, this::serve);
        }

        synchronized void losePower() {
            dark = true;
            staged = new byte[PIECES][];
            holds = false;
            loadedAt = 0;
            orders = 0;
        }

        synchronized void comeBack() {
            born = System.currentTimeMillis();
            dark = false;
        }

        private synchronized boolean isLoading() {
            if (loadedAt > 0 && Lab.seconds() > loadedAt) {
                loadedAt = 0;
                holds = true;
                Lab.note("worker " + id + " has loaded version 1");
            }
            return loadedAt > 0;
        }

        private synchronized String state() {
            isLoading();
            return "\"stage\":\"both\",\"models\":[" + (holds ? "{\"name\":\"" + MODEL + "\",\"version\":1,\"adapters\":[]}" : "") + "],\"layers\":"
                + (holds ? "{\"from\":0,\"target\":" + LAYERS + ",\"version\":1}" : "null") + ",\"seq\":" + orders + ",\"born\":" + born;
        }

        String entry() {
            return "{\"service\":\"" + SERVICE + "\",\"address\":\"" + server.address + "\",\"zone\":\"" + zone
                + "\",\"version\":\"v1\",\"slots\":16,\"state\":\"ready\",\"coldLeftMs\":0," + state() + "}";
        }

        private boolean serve(Lab.Message request, Socket connection, OutputStream out) throws IOException {
            if (dark) return false;
            String target = request.first.split(" ")[1];
            if (target.startsWith("/lagoonrudder/report")) {
                String report = "{" + state() + ",\"busy\":" + isLoading() + ",\"waiting\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":1640000,\"handles\":0}";
                answer(out, "200 OK", report.getBytes(StandardCharsets.ISO_8859_1));
            } else if (target.startsWith("/lagoonrudder/stage-put/")) {
                synchronized (this) {
                    staged[number(target)] = request.body;
                }
                answer(out, "200 OK", new byte[0]);
            } else if (target.startsWith("/lagoonrudder/stage-get/")) {
                byte[] piece;
                synchronized (this) {
                    piece = staged[number(target)];
                }
                answer(out, piece == null ? "404 Not Found" : "200 OK", piece == null ? new byte[0] : piece);
            } else if (target.startsWith("/lagoonrudder/order")) {
                synchronized (this) {
                    orders++;
                    loadedAt = Lab.seconds() + 0.3;
                }
                Lab.note("worker " + id + " accepts the order " + new String(request.body, StandardCharsets.ISO_8859_1));
                answer(out, "202 Accepted", new byte[0]);
            } else {
                run(request, out);
            }
            return true;
        }

        private static int number(String target) {
            return Integer.parseInt(target.replaceAll(".*num=(\\d+).*", "$1"));
        }

        private void run(Lab.Message request, OutputStream out) throws IOException {
            String request0 = request.field("request-id");
            boolean sound;
            synchronized (this) {
                sound = holds && !isLoading() && id.equals(request.field("expect-instance"));
            }
            if (!sound) {
                Lab.write(out, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: " + request0 + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            runs.byRequest.computeIfAbsent(request0, key -> new ArrayList<>()).add(id);
            Lab.note("worker " + id + " runs " + request0);
            String events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
            Lab.write(out, "HTTP/1.1 200 OK\r\nRequest-Id: " + request0 + "\r\nResponse-Stamp: " + id + "." + request0 + "\r\nWeight-Versions: 1\r\n"
                + "Content-Type: text/event-stream\r\nContent-Length: " + events.length() + "\r\n\r\n" + events);
        }
    }

    private static String configuration(int version, String origin) {
        String route = Site.route("r-2xp4zhp", "/xapu221/", "stream", 2, SERVICE).replace("\"timeoutMs\":800", "\"timeoutMs\":6000")
            .replace("\"sticky\":false", "\"sticky\":true,\"canResume\":true,\"gapAimMs\":300");
        String engine = "{\"name\":\"" + SERVICE + "\",\"healthPath\":\"/health\",\"maxConns\":294,\"coldS\":3.0,\"coldPerS\":28.0,\"engine\":{\"slots\":16,"
            + "\"models\":[{\"name\":\"" + MODEL + "\",\"pace\":1.0,\"warmS\":0.3}],\"layers\":" + LAYERS + ",\"chunks\":" + PIECES + ",\"chunkBytes\":"
            + PIECE_BYTES + "}}";
        String weights = "{\"name\":\"kafi81c\",\"origin\":\"" + origin + "\",\"zone\":\"sued-a\",\"linkMbps\":15.0,\"maxConns\":48}";
        return Site.configuration(version, List.of(route), List.of(engine, weights), List.of(Site.tenant("bozi300", KEY)));
    }

    private static int serve(List<Lab.Daemon> entries, Site.Runs runs, int rounds) {
        int served = 0;
        for (int round = 0; round < rounds; round++) {
            for (Lab.Daemon entry : entries) served += Math.min(1, runs.of(Site.send(entry, "/xapu221/2f", KEY, Site.answers())));
            Lab.sleep(500);
        }
        return served;
    }

    private static boolean holds(Path folder, boolean trouble) throws Exception {
        Lab.Store store = new Lab.Store();
        Lab.Worker origin = new Lab.Worker("origin", WrongVersion::origin);
        store.put("op/config", configuration(7, origin.address));
        Site.Runs runs = new Site.Runs();
        String[] zones = {"ost-a", "west-a", "sued-a"};
        List<ModelWorker> workers = new ArrayList<>();
        for (String zone : zones) workers.add(new ModelWorker("i-" + zone, zone, runs));
        for (ModelWorker worker : workers) store.put("servers/" + worker.id, worker.entry());
        Lab.background(() -> {
            while (true) {
                Lab.sleep(1200);
                for (ModelWorker worker : workers) if (!worker.dark) store.beat("servers/" + worker.id, worker.entry());
            }
        });
        List<Lab.Daemon> daemons = new ArrayList<>(Lab.entries(folder, store.address, zones));
        List<Lab.Daemon> entries = List.copyOf(daemons);
        for (ModelWorker worker : workers) daemons.add(Lab.target(folder, store.address, worker.zone, entries, worker.server.address, SERVICE));
        for (Lab.Daemon daemon : daemons) daemon.start();
        for (Lab.Daemon entry : entries) if (!entry.awaitReady(20)) throw new IllegalStateException(entry.name + " is not ready");
        Lab.sleep(4000);
        int before = serve(entries, runs, 10);
        store.put("op/config", configuration(11, origin.address));
        Lab.note("the store acknowledges version 11; all machines lose power");
        for (Lab.Daemon daemon : daemons) daemon.process.destroyForcibly();
        for (ModelWorker worker : workers) worker.losePower();
        for (Lab.Daemon daemon : daemons) daemon.process.waitFor();
        Lab.sleep(DOWN_MS);
        corrupts = trouble;
        firstNext = true;
        ORIGIN_ANSWERS.set(0);
        for (ModelWorker worker : workers) worker.comeBack();
        for (Lab.Daemon daemon : daemons) daemon.start();
        Lab.note("the machines are back");
        for (Lab.Daemon entry : entries) if (!entry.awaitReady(20)) throw new IllegalStateException(entry.name + " is not ready again");
        Lab.sleep(RECOVER_S * 1000L);
        Lab.note("the origin has answered " + ORIGIN_ANSWERS.get() + " calls since");
        int after = serve(entries, runs, 20);
        Lab.note("served " + before + " of 30 before the final fault, " + after + " of 60 from recoverS after it on");
        if (before * 4 < 30) throw new IllegalStateException("too little was served before the fault");
        return after * 4 >= 60;
    }
}
