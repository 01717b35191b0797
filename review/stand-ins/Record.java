/*
 * The record of a script: what was sent, answered and run, with the time in milliseconds since its start.
 */
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

final class Record implements AutoCloseable {
    /** A request that reached a worker. */
    record Arrival(String request, String worker, String service, String tenant, long atMs) {}

    final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
    private final long start = System.currentTimeMillis();
    private final PrintWriter output;

    Record(Path file) throws IOException {
        output = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void add(String event, String detail) {
        output.println(String.format("%7d %-12s %s", System.currentTimeMillis() - start, event, detail));
        output.flush();
    }

    @Override
    public synchronized void close() {
        output.close();
    }
}
