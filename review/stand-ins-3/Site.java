import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** A small deployment: its configuration, its runs and what its clients were answered. */
final class Site {
    static final String HOST_NAME = "voka93.example";

    private Site() {}

    /** A case returns whether the rule held; it throws if it could not run. */
    interface Case {
        boolean holds(Path folder, boolean trouble) throws Exception;
    }

    /** Runs a case within 115 seconds and exits with its result; every daemon that it started is ended before. */
    static void play(Case played) {
        int result = 2;
        try {
            Path folder = Path.of(System.getProperty("lab.folder"));
            Lab.openRecord(Path.of(System.getProperty("lab.record")));
            Runtime.getRuntime().addShutdownHook(new Thread(Lab::killAll));
            boolean trouble = !"0".equals(System.getenv("TROUBLE"));
            Lab.background(() -> {
                Lab.sleep(115_000);
                Lab.note("the case takes too long");
                Lab.killAll();
                Runtime.getRuntime().halt(2);
            });
            Lab.note("disruption: " + (trouble ? "yes" : "no"));
            result = played.holds(folder, trouble) ? 0 : 1;
            Lab.note(result == 0 ? "the rule held" : "the rule was broken");
        } catch (Throwable failure) {
            Lab.note("the case could not run: " + failure);
            failure.printStackTrace();
        } finally {
            Lab.killAll();
        }
        System.exit(result);
    }

    static String route(String name, String prefix, String kind, int attempts, String service) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST_NAME + "\",\"prefix\":\"" + prefix + "\",\"kind\":\"" + kind + "\","
            + "\"timeoutMs\":800,\"targetLatencyMs\":195,\"priority\":2,\"service\":\"" + service + "\",\"attempts\":" + attempts + ","
            + "\"public\":false,\"sticky\":false,\"homeRegions\":[]}";
    }

    static String service(String name) {
        return "{\"name\":\"" + name + "\",\"healthPath\":\"/health\",\"maxConns\":96,\"protocol\":\"h1\",\"tls\":false,\"coldS\":0.0,\"coldPerS\":0.0}";
    }

    static String tenant(String name, String key) {
        return "{\"name\":\"" + name + "\",\"apiKeys\":[\"" + key + "\"],\"priority\":1,\"homeRegions\":[]}";
    }

    static String configuration(int version, List<String> routes, List<String> services, List<String> tenants) {
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":[" + String.join(",", services) + "],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
            + "\"tenants\":[" + String.join(",", tenants) + "]}";
    }

    /** Counts the runs of each request by its id, and keeps the tenant that the worker was told. */
    static final class Runs {
        final Map<String, List<String>> byRequest = new ConcurrentHashMap<>();

        /** A worker that answers at once. */
        Lab.Worker worker(String id) throws Exception {
            return new Lab.Worker(id, (request, connection, out) -> {
                String request0 = request.field("request-id");
                if (request0 == null) {
                    Lab.write(out, "HTTP/1.1 200 OK\r\nInstance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
                    return true;
                }
                if (!id.equals(request.field("expect-instance"))) {
                    Lab.write(out, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " + request0 + "\r\nContent-Length: 0\r\n\r\n");
                    return true;
                }
                String tenant = String.valueOf(request.field("tenant"));
                byRequest.computeIfAbsent(request0, key -> new ArrayList<>()).add(tenant);
                Lab.note("worker " + id + " runs " + request0 + " (" + request.first + ") with Tenant: " + tenant);
                String body = "done " + request0;
                Lab.write(out, "HTTP/1.1 200 OK\r\nRequest-Id: " + request0 + "\r\nResponse-Stamp: " + id + "." + request0
                    + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
                return true;
            });
        }

        int of(String request) {
            return byRequest.getOrDefault(request, List.of()).size();
        }
    }

    private static int requests;

    /** Sends an unsafe request with a key, or without one, and returns its id; the answer is recorded. */
    static String pay(Lab.Daemon entry, String key, Map<String, Integer> answers) {
        return send(entry, "/filo73/de11/2f", key, answers);
    }

    /** The same with another path. */
    static String send(Lab.Daemon entry, String path, String key, Map<String, Integer> answers) {
        String id = String.format("9c41d07b%08x", ++requests);
        String request = "POST " + path + " HTTP/1.1\r\nHost: " + HOST_NAME + "\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 1517\r\n"
            + (key == null ? "" : "X-Api-Key: " + key + "\r\n") + "Content-Length: 4\r\nConnection: close\r\n\r\nbody";
        Lab.note("client sends " + id + " (" + path + ") to " + entry.name + (key == null ? " without a key" : " with key " + key));
        Lab.Message answer = Lab.ask(entry.callers, request, 3000);
        Lab.note("client gets for " + id + ": " + (answer == null ? "no answer" : answer.first));
        answers.put(id, answer == null ? 0 : answer.status());
        return id;
    }

    static Map<String, Integer> answers() {
        return new TreeMap<>();
    }
}
