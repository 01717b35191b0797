/*
 * A stand-in of the platform's metadata store: items with revisions, ranges in pages, and watches over a history.
 *
 * Every daemon gets an address of its own for the same store, so that the path of a single one can be disturbed.
 */
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

final class Store implements AutoCloseable {
    private record Item(String key, long revision, byte[] value) {
        String json() {
            String start = "{\"key\":\"" + key + "\",\"revision\":" + revision;
            if (value == null) return start + ",\"deleted\":true}";
            return start + ",\"value\":\"" + Base64.getEncoder().encodeToString(value) + "\",\"created\":" + revision + ",\"lease\":0}";
        }
    }

    private record Event(Item item, long at) {}

    private static final long HISTORY_MS = 20_000;
    private static final int PAGE_ITEMS = 500;
    private static final int PAGE_BYTES = 1_048_576;
    private static final Map<String, String> JSON = Map.of("Content-Type", "application/json");

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final Deque<Event> history = new ArrayDeque<>();
    private final List<HttpListener> listeners = new ArrayList<>();
    private final Set<HttpListener.Connection> watching = ConcurrentHashMap.newKeySet();
    private final Set<String> silenced = ConcurrentHashMap.newKeySet();
    private final Map<String, Long> lastAnswerMs = new ConcurrentHashMap<>();
    private long revision = 100;
    private long forgottenUpTo = 100;

    /** Returns an address of this store for the daemon with [name]. */
    String listenFor(String name) throws IOException {
        HttpListener listener = new HttpListener((request, connection) -> handle(name, request, connection));
        listeners.add(listener);
        return listener.address();
    }

    /** Writes an item; the return is the acknowledgement. */
    synchronized long put(String key, byte[] value) {
        return write(key, value);
    }

    synchronized long put(String key, String value) {
        return write(key, value.getBytes(StandardCharsets.UTF_8));
    }

    synchronized long remove(String key) {
        return write(key, null);
    }

    /** Ends every watch that is waiting now by closing its connection; new ones are taken at once. */
    int cutWatches() {
        int count = 0;
        for (HttpListener.Connection connection : watching) {
            connection.close();
            count++;
        }
        return count;
    }

    /** From now on the path between the store and the daemon with [name] takes no packet in either direction. */
    void cutOff(String name) {
        silenced.add(name);
    }

    /** The time of the last answer to the daemon with [name]; 0 if there was none. */
    long lastAnswerMs(String name) {
        return lastAnswerMs.getOrDefault(name, 0L);
    }

    @Override
    public void close() {
        listeners.forEach(HttpListener::close);
    }

    private long write(String key, byte[] value) {
        revision++;
        Item item = new Item(key, revision, value);
        if (value == null) items.remove(key);
        else items.put(key, item);
        history.addLast(new Event(item, System.currentTimeMillis()));
        notifyAll();
        return revision;
    }

    private void handle(String name, HttpListener.Request request, HttpListener.Connection connection)
            throws IOException, InterruptedException {
        if (request.path().endsWith("/kv-watch")) watch(name, request, connection);
        else if (request.path().endsWith("/kv-range")) answer(name, connection, 200, range(request));
        else answer(name, connection, 404, "{}");
    }

    private void answer(String name, HttpListener.Connection connection, int status, String body) throws IOException, InterruptedException {
        if (silenced.contains(name)) {
            Thread.sleep(Long.MAX_VALUE);
        }
        connection.respond(status, JSON, body.getBytes(StandardCharsets.UTF_8));
        lastAnswerMs.put(name, System.currentTimeMillis());
    }

    private synchronized String range(HttpListener.Request request) {
        String prefix = request.query("prefix");
        String after = request.query("after");
        StringBuilder body = new StringBuilder("{\"items\":[");
        int count = 0;
        int bytes = 0;
        boolean hasMore = false;
        for (Item item : items.tailMap(after, false).values()) {
            if (!item.key.startsWith(prefix)) continue;
            if (count > 0 && (count == PAGE_ITEMS || bytes + item.value.length > PAGE_BYTES)) {
                hasMore = true;
                break;
            }
            body.append(count == 0 ? "" : ",").append(item.json());
            count++;
            bytes += item.value.length;
        }
        return body.append("],\"hasMore\":").append(hasMore).append(",\"at\":").append(revision).append("}").toString();
    }

    private void watch(String name, HttpListener.Request request, HttpListener.Connection connection)
            throws IOException, InterruptedException {
        long after = Long.parseLong(request.query("after"));
        long until = System.currentTimeMillis() + Math.min(30_000, Long.parseLong(request.query("waitMs")));
        watching.add(connection);
        String body;
        try {
            body = awaitEvents(after, until, connection);
        } finally {
            watching.remove(connection);
        }
        if (connection.isClosed()) return;
        if (body == null) answer(name, connection, 410, "{}");
        else answer(name, connection, 200, body);
    }

    /** Returns the events after a revision once there are any, none at the end of the wait; null if they are no longer known. */
    private synchronized String awaitEvents(long after, long until, HttpListener.Connection connection) throws InterruptedException {
        while (true) {
            forgetOld();
            if (after < forgottenUpTo) return null;
            long left = until - System.currentTimeMillis();
            if (revision > after || left <= 0 || connection.isClosed()) break;
            wait(Math.min(left, 100));
        }
        StringBuilder body = new StringBuilder("{\"events\":[");
        boolean first = true;
        for (Event event : history) {
            if (event.item.revision <= after) continue;
            body.append(first ? "" : ",").append(event.item.json());
            first = false;
        }
        return body.append("],\"at\":").append(revision).append("}").toString();
    }

    private void forgetOld() {
        long oldest = System.currentTimeMillis() - HISTORY_MS;
        while (!history.isEmpty() && history.peekFirst().at < oldest) forgottenUpTo = history.removeFirst().item.revision;
    }
}
