/*
 * Clients read their answers slowly while a daemon is stopped with SIGTERM.
 */
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

final class SlowReaders {
    private static final int CLIENTS = 108;

    /** Answers of many lengths, since how much of one the system buffers for a connection differs between machines. */
    private static final int SHORTEST_ANSWER = 2_400_000;
    private static final int STEP = 24_000;

    /** How long a client reads nothing after the head of its answer. */
    private static final long PAUSE_MS = 3_000;

    /** A client on a slow link has a small window. */
    private static final int RECEIVE_BYTES = 16_384;
    private static final int SLOTS = 64;
    private static final int WORK_MS = 30;

    /** After SIGTERM the requests are sent at these times, all of them sooner than 3 s after it. */
    private static final long FIRST_MS = 500;
    private static final long GAP_MS = 10;

    private SlowReaders() {}

    public static void main(String[] arguments) {
        Case.run("review/5", SlowReaders::run);
    }

    private static String run(Record record, boolean trouble) throws Exception {
        ExecutorService callers = Executors.newFixedThreadPool(CLIENTS);
        try (Site site = new Site(record, "ost-a", "west-a")) {
            List<Worker> workers = new ArrayList<>();
            for (String zone : List.of("ost-a", "west-a")) workers.add(new Worker("i-desk-" + zone, "entry-desk", zone, SLOTS, WORK_MS, 800, record));
            for (Worker worker : workers) site.store.put(worker.key(), worker.entry("ready"));
            site.store.put("op/config", configuration());
            site.start();
            Site.sleep(Site.CONTACT_MS + 1_000);

            Site.Daemon daemon = site.daemons.get(0);
            List<Caller> connections = new ArrayList<>();
            for (int number = 0; number < CLIENTS; number++) connections.add(new Caller(daemon.callers, RECEIVE_BYTES));
            long stoppedAt = System.currentTimeMillis();
            if (trouble) {
                daemon.stop();
                record.add("sigterm", daemon.name);
            }
            List<Future<Caller.Answer>> answers = new ArrayList<>();
            for (int number = 0; number < CLIENTS; number++) {
                Caller connection = connections.get(number);
                String id = String.format("%016x", number + 1);
                long at = stoppedAt + FIRST_MS + GAP_MS * number;
                int length = SHORTEST_ANSWER + STEP * number;
                answers.add(callers.submit(() -> call(connection, id, length, at, record)));
            }
            int cut = 0;
            int complete = 0;
            for (int number = 0; number < CLIENTS; number++) {
                Caller.Answer answer = answers.get(number).get(20, TimeUnit.SECONDS);
                String id = String.format("%016x", number + 1);
                record.add("answered", "request=" + id + " status=" + answer.status() + " received=" + answer.received() + " of " + answer.expected());
                boolean passedOn = record.arrivals.stream().anyMatch(it -> it.request().equals(id));
                if (answer.isComplete()) complete++;
                else if (passedOn) cut++;
            }
            if (trouble) record.add("ended", daemon.name + " " + daemon.hasEnded(Site.GRACE_MS));
            for (Worker worker : workers) worker.close();
            return cut == 0 ? null : cut + " of " + CLIENTS + " requests that were passed on to a worker got an incomplete answer, " + complete + " a complete one";
        } finally {
            callers.shutdownNow();
        }
    }

    private static Caller.Answer call(Caller connection, String id, int length, long at, Record record) throws IOException {
        Site.sleepUntil(at);
        record.add("sent", "request=" + id);
        return connection.call("GET", "desk.example", "/lookup/1?bytes=" + length, id, "key-moha", PAUSE_MS);
    }

    private static String configuration() {
        return "{\"version\":100,\"routes\":[{\"name\":\"lookup\",\"host\":\"desk.example\",\"prefix\":\"/lookup/\",\"kind\":\"safe\","
                + "\"timeoutMs\":6000,\"targetLatencyMs\":400,\"attempts\":2,\"priority\":2,\"service\":\"entry-desk\"}],"
                + "\"services\":[{\"name\":\"entry-desk\",\"maxConns\":96,\"healthPath\":\"/health\"}],"
                + "\"tenants\":[{\"name\":\"moha\",\"apiKeys\":[\"key-moha\"]}],"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":65536,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
    }
}
