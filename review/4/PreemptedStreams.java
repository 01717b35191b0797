/*
 * A daemon is stopped with SIGTERM while a worker preempts the streams that it answers. The other worker stands in a zone that is being
 * emptied, so that no worker is left at which the streams could be resumed.
 */
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

final class PreemptedStreams {
    private static final int STREAMS = 8;
    private static final long FIRST_MS = 300;
    private static final long GAP_MS = 100;

    /** Shorter than the 2.4 s after which clients abandon a stream of this route. */
    private static final long PREEMPTION_MS = 1_800;

    private PreemptedStreams() {}

    public static void main(String[] arguments) {
        Case.run("review/4", PreemptedStreams::run);
    }

    private static String run(Record record, boolean trouble) throws Exception {
        ExecutorService callers = Executors.newFixedThreadPool(STREAMS);
        try (Site site = new Site(record, "ost-a", "west-a")) {
            StreamWorker worker = new StreamWorker("i-llm-ost-a", "most-llm", "ost-a", record);
            StreamWorker evacuated = new StreamWorker("i-llm-west-a", "most-llm", "west-a", record);
            site.store.put(worker.key(), worker.entry());
            site.store.put(evacuated.key(), evacuated.entry());
            site.store.put("op/config", configuration());
            site.start();
            Site.sleep(Site.CONTACT_MS);
            site.store.put("op/evacuate/west-a", "{}");
            record.add("evacuate", "west-a");
            Site.sleep(Site.CONTACT_MS);

            Site.Daemon daemon = site.daemons.get(0);
            List<Caller> connections = new ArrayList<>();
            for (int number = 0; number < STREAMS; number++) connections.add(new Caller(daemon.callers));
            if (trouble) worker.preempt(PREEMPTION_MS);
            long stoppedAt = System.currentTimeMillis();
            daemon.stop();
            record.add("sigterm", daemon.name);
            List<Future<Caller.Answer>> answers = new ArrayList<>();
            for (int number = 0; number < STREAMS; number++) {
                Caller connection = connections.get(number);
                String id = String.format("%016x", number + 1);
                long at = stoppedAt + FIRST_MS + GAP_MS * number;
                answers.add(callers.submit(() -> {
                    Site.sleepUntil(at);
                    record.add("sent", "request=" + id);
                    Caller.Answer answer = connection.call("POST", "draft.example", "/draft/1", id, "key-moha");
                    record.add("answered", "request=" + id + " status=" + answer.status() + " complete=" + answer.isComplete() + " received=" + answer.received());
                    return answer;
                }));
            }
            int cut = 0;
            int complete = 0;
            for (Future<Caller.Answer> each : answers) {
                Caller.Answer answer = each.get(20, TimeUnit.SECONDS);
                if (answer.isComplete()) complete++;
                else if (answer.status() == 200) cut++;
            }
            record.add("ended", daemon.name + " " + daemon.hasEnded(Site.GRACE_MS));
            worker.close();
            evacuated.close();
            return cut == 0 ? null : cut + " of " + STREAMS + " streams ended early at the daemon, " + complete + " were complete";
        } finally {
            callers.shutdownNow();
        }
    }

    private static String configuration() {
        return "{\"version\":100,\"routes\":[{\"name\":\"draft\",\"host\":\"draft.example\",\"prefix\":\"/draft/\",\"kind\":\"stream\",\"canResume\":true,"
                + "\"timeoutMs\":6000,\"targetLatencyMs\":402,\"gapAimMs\":300,\"attempts\":2,\"priority\":1,\"service\":\"most-llm\"}],"
                + "\"services\":[{\"name\":\"most-llm\",\"maxConns\":294,\"healthPath\":\"/health\"}],"
                + "\"tenants\":[{\"name\":\"moha\",\"apiKeys\":[\"key-moha\"]}],"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":65536,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
    }
}
