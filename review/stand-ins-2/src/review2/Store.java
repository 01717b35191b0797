package review2;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Map;
import java.util.TreeMap;

/** A stand-in of the platform's store, by the section on the metadata store and the news on a restored one. */
final class Store extends Server {
    private record Item(long revision, byte[] value) {}

    /** What the store held at one time. */
    record Copy(TreeMap<String, Item> items, long revision) {}

    private static final int PAGE = 400;
    private TreeMap<String, Item> items = new TreeMap<>();
    private long revision = 10;
    private long era = 0;
    private boolean statesEra = false;
    private boolean away = false;

    Store() throws IOException {
        super(0);
    }

    synchronized long put(String key, String value) {
        items.put(key, new Item(++revision, value.getBytes(StandardCharsets.UTF_8)));
        notifyAll();
        return revision;
    }

    synchronized long remove(String key) {
        items.put(key, new Item(++revision, null));
        notifyAll();
        return revision;
    }

    /** States the header Store-Era from now on. */
    synchronized void stateEra(long first) {
        statesEra = true;
        era = first;
    }

    synchronized Copy copy() {
        return new Copy(new TreeMap<>(items), revision);
    }

    /** Answers every call with 503 while it is away. */
    synchronized void setAway(boolean away) {
        this.away = away;
        notifyAll();
    }

    /** Comes back from [copy], in the next era. */
    synchronized void restore(Copy copy) {
        items = new TreeMap<>(copy.items);
        revision = copy.revision;
        era++;
        notifyAll();
    }

    @Override
    void handle(Connection connection) throws IOException, InterruptedException {
        while (true) {
            Wire.Message request = Wire.readHead(connection.in);
            if (request == null) return;
            Wire.readBody(connection.in, request, false);
            connection.write(answer(request));
        }
    }

    private synchronized byte[] answer(Wire.Message request) throws InterruptedException {
        String path = request.target().split("\\?")[0];
        Map<String, String> query = Wire.query(request.target());
        if (away) return respond(503, "{}");
        return switch (path) {
            case "/lagoonrudder/kv-key" -> key(query);
            case "/lagoonrudder/kv-range" -> range(query);
            case "/lagoonrudder/kv-watch" -> watch(query);
            default -> respond(404, "{}");
        };
    }

    private byte[] key(Map<String, String> query) {
        Item item = items.get(query.getOrDefault("key", ""));
        if (item == null || item.value == null) return respond(404, "{}");
        return respond(200, "{\"item\":" + json(query.get("key"), item) + ",\"at\":" + revision + "}");
    }

    private byte[] range(Map<String, String> query) {
        String prefix = query.getOrDefault("prefix", "");
        String after = query.getOrDefault("after", "");
        StringBuilder list = new StringBuilder();
        int count = 0;
        boolean more = false;
        for (Map.Entry<String, Item> entry : items.tailMap(after, after.isEmpty()).entrySet()) {
            if (!entry.getKey().startsWith(prefix) || entry.getValue().value == null) continue;
            if (count == PAGE) {
                more = true;
                break;
            }
            if (count++ > 0) list.append(',');
            list.append(json(entry.getKey(), entry.getValue()));
        }
        return respond(200, "{\"items\":[" + list + "],\"hasMore\":" + more + ",\"at\":" + revision + "}");
    }

    private byte[] watch(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.getOrDefault("after", "0"));
        String prefix = query.getOrDefault("prefix", "");
        long eraBefore = era;
        if (after > revision) return respond(410, "{}");
        long until = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000L;
        while (true) {
            if (away) return respond(503, "{}");
            if (era != eraBefore) return respond(410, "{}");
            StringBuilder list = new StringBuilder();
            items.entrySet().stream()
                .filter(entry -> entry.getValue().revision > after && entry.getKey().startsWith(prefix))
                .sorted((one, other) -> Long.compare(one.getValue().revision, other.getValue().revision))
                .forEach(entry -> list.append(list.length() == 0 ? "" : ",").append(json(entry.getKey(), entry.getValue())));
            long left = until - System.nanoTime();
            if (list.length() > 0 || left <= 0) return respond(200, "{\"events\":[" + list + "],\"at\":" + revision + "}");
            wait(Math.max(1, left / 1_000_000L));
        }
    }

    private static String json(String key, Item item) {
        String start = "{\"key\":" + Wire.quoted(key) + ",\"revision\":" + item.revision;
        if (item.value == null) return start + ",\"deleted\":true}";
        return start + ",\"created\":" + item.revision + ",\"lease\":0,\"value\":\"" + Base64.getEncoder().encodeToString(item.value) + "\"}";
    }

    private byte[] respond(int status, String body) {
        return Wire.response(status, body.getBytes(StandardCharsets.UTF_8),
            "Content-Type", "application/json", "Store-Era", statesEra ? String.valueOf(era) : null);
    }
}
