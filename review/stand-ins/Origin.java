/*
 * A stand-in of the service that holds the weights of a model: it gives out manifests and pieces, and may spoil an answer.
 */
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

final class Origin implements AutoCloseable {
    static final String MODEL = "daka510000";
    static final int CHUNKS = 48;
    static final int CHUNK_BYTES = 49_152;
    static final int LAYERS = 16;

    private final Record record;
    private final HttpListener listener;
    private final AtomicInteger manifestsToSpoil = new AtomicInteger();
    private final AtomicInteger answers = new AtomicInteger();
    private volatile long newest = 1;

    Origin(Record record) throws IOException {
        this.record = record;
        this.listener = new HttpListener(this::handle);
    }

    String address() {
        return listener.address();
    }

    void name(long version) {
        newest = version;
    }

    /** The next manifests have one wrong digit in one of their digests. */
    void spoilManifests(int count) {
        manifestsToSpoil.set(count);
    }

    /** The number of answers so far. */
    int answers() {
        return answers.get();
    }

    static byte[] piece(long version, int number) {
        byte[] bytes = new byte[CHUNK_BYTES];
        for (int index = 0; index < bytes.length; index++) bytes[index] = (byte) (index * 31 + number * 7 + version * 13 + index / 256);
        return bytes;
    }

    static String digest(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    @Override
    public void close() {
        listener.close();
    }

    private void handle(HttpListener.Request request, HttpListener.Connection connection) throws IOException {
        answers.incrementAndGet();
        String stated = request.query("version");
        long version = stated.isEmpty() ? newest : Long.parseLong(stated);
        if (version > newest) {
            connection.respond(404, Map.of(), new byte[0]);
        } else if (version <= newest - 2) {
            connection.respond(410, Map.of(), new byte[0]);
        } else if (request.path().contains("/manifest/")) {
            connection.respond(200, Map.of("Content-Type", "application/json"), manifest(version).getBytes(StandardCharsets.UTF_8));
        } else {
            connection.respond(200, Map.of(), piece(version, Integer.parseInt(request.query("num"))));
        }
    }

    private String manifest(long version) {
        boolean spoiled = manifestsToSpoil.getAndUpdate(left -> Math.max(0, left - 1)) > 0;
        StringBuilder digests = new StringBuilder();
        for (int number = 0; number < CHUNKS; number++) {
            String digest = digest(piece(version, number));
            if (spoiled && number == CHUNKS / 2) digest = (digest.charAt(0) == '0' ? '1' : '0') + digest.substring(1);
            digests.append(number == 0 ? "" : ",").append('"').append(digest).append('"');
        }
        record.add("manifest", "version=" + version + " spoiled=" + spoiled);
        return "{\"model\":\"" + MODEL + "\",\"version\":" + version + ",\"chunkBytes\":" + CHUNK_BYTES + ",\"layers\":" + LAYERS + ",\"digests\":["
                + digests + "]}";
    }
}
