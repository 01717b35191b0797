import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A configuration raises `maxHeaderBytes`; clients then send heads that it allows, over the connections that they kept. */
final class HeadLimit {
    private static final String KEY = "jnbanfqasnmgkcuyj8pj";
    private static final int OLD_LIMIT = 4096;
    private static final int NEW_LIMIT = 16_384;
    private static final int CONNECTIONS_PER_ENTRY = 8;
    private static int requests;

    public static void main(String[] arguments) {
        Site.play(HeadLimit::holds);
    }

    private static String configuration(int version, int headerBytes) {
        return Site.configuration(version, List.of(Site.route("r-js2eek2", "/filo73/", "unsafe", 1, "wuno96b")), List.of(Site.service("wuno96b")),
            List.of(Site.tenant("bozi300", KEY))).replace("\"maxHeaderBytes\":16384", "\"maxHeaderBytes\":" + headerBytes);
    }

    /** A connection that a client keeps. */
    private static final class Kept {
        final Lab.Daemon entry;
        final Socket socket;
        final InputStream in;

        Kept(Lab.Daemon entry) throws IOException {
            this.entry = entry;
            socket = new Socket(Lab.HOST, Integer.parseInt(entry.callers.split(":")[1]));
            socket.setSoTimeout(3000);
            in = new BufferedInputStream(socket.getInputStream());
        }

        /** Sends a request whose head has about the given number of bytes, and returns the status of its answer. */
        int ask(int headBytes) throws IOException {
            String id = String.format("9c41d07b%08x", ++requests);
            StringBuilder head = new StringBuilder("POST /filo73/de11/2f HTTP/1.1\r\nHost: " + Site.HOST_NAME + "\r\nRequest-Id: " + id
                + "\r\nDeadline-Ms: 1517\r\nX-Api-Key: " + KEY + "\r\nContent-Length: 4\r\nPrompt-Prefix: 5c1e07a2:40");
            for (int part = 0; head.length() < headBytes - 20; part++) head.append(String.format(",%08x:10", part));
            head.append("\r\n\r\n");
            Lab.note("client sends " + id + " to " + entry.name + " over a kept connection, with a head of " + head.length() + " bytes");
            Lab.write(socket.getOutputStream(), head + "body");
            Lab.Message answer = Lab.Message.read(in, true);
            Lab.note("client gets for " + id + ": " + (answer == null ? "no answer" : answer.first));
            return answer == null ? 0 : answer.status();
        }
    }

    private static boolean holds(Path folder, boolean trouble) throws Exception {
        Lab.Store store = new Lab.Store();
        store.put("op/config", configuration(7, trouble ? OLD_LIMIT : NEW_LIMIT));
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
        List<Kept> kept = new ArrayList<>();
        for (Lab.Daemon entry : entries) for (int index = 0; index < CONNECTIONS_PER_ENTRY; index++) kept.add(new Kept(entry));
        for (Kept connection : kept) {
            if (connection.ask(1000) != 200) throw new IllegalStateException("a sound request was not served");
        }
        if (trouble) {
            store.put("op/config", configuration(11, NEW_LIMIT));
            Lab.note("the store acknowledges version 11, which raises maxHeaderBytes from " + OLD_LIMIT + " to " + NEW_LIMIT);
        }
        Lab.sleep(6000);
        for (Kept connection : kept) {
            if (connection.ask(1000) != 200) throw new IllegalStateException("a sound request was not served");
        }
        int denied = 0;
        for (Kept connection : kept) {
            int status = connection.ask(7000);
            if (status >= 300 && status < 500 && status != 408 && status != 421 && status != 429) denied++;
        }
        double bound = 5 + requests / 500.0;
        Lab.note(denied + " of " + requests + " requests were denied though they are proper, bound " + bound);
        return denied <= bound;
    }
}
