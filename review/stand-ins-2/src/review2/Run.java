package review2;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/** The frame of a case: its record, its folder for temporary files and its exit status. */
abstract class Run {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;
    private static final long LIMIT_MS = 115_000;
    private final StringBuilder record = new StringBuilder();
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path folder;

    /** Plays the case and returns one of the statuses above. */
    abstract int play() throws Exception;

    final synchronized void note(String text) {
        String line = String.format("%7d ms  %s%n", Clock.ms(), text);
        record.append(line);
        System.out.print(line);
    }

    final void run(String[] arguments) throws Exception {
        Path target = Path.of(arguments[0]);
        folder = Files.createTempDirectory("review-2-");
        int status = NOT_RUN;
        endAfterLimit();
        try {
            note("trouble " + (trouble ? "on" : "off"));
            status = play();
        } catch (Throwable failure) {
            note("could not run: " + failure);
            failure.printStackTrace();
        } finally {
            note(status == HELD ? "the rule held" : status == BROKEN ? "THE RULE WAS BROKEN" : "the case could not run");
            Files.writeString(target, record + "\nSent and answered:\n" + String.join("\n", Client.SENT) + "\n\nAt workers:\n"
                + String.join("\n", Worker.ARRIVED) + "\n");
            if (System.getenv("KEEP") == null) delete(folder); else System.out.println("kept " + folder);
        }
        System.exit(status);
    }

    /** Ends this process, and with it the daemons, if the case takes longer than it may. */
    private static void endAfterLimit() {
        Thread guard = new Thread(() -> {
            try {
                Thread.sleep(LIMIT_MS);
            } catch (InterruptedException ended) {
                return;
            }
            System.out.println("not over after " + LIMIT_MS + " ms");
            System.exit(NOT_RUN);
        }, "limit");
        guard.setDaemon(true);
        guard.start();
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path path : all.sorted(Comparator.reverseOrder()).toList()) Files.deleteIfExists(path);
        }
    }
}
