/*
 * The frame of a script: it runs a case, writes the verdict and exits with 0 (the rule held), 1 (it was broken) or 2 (not run).
 */
import java.nio.file.Path;

final class Case {
    /** The body of a case; it returns how the rule was broken, or null if it held. */
    interface Body {
        String run(Record record, boolean trouble) throws Exception;
    }

    static final int BROKEN = 1;
    private static final int NOT_RUN = 2;

    private Case() {}

    static void run(String folder, Body body) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code;
        try (Record record = new Record(Path.of(folder, "record.txt"))) {
            record.add("case", folder + " trouble=" + trouble);
            try {
                String broken = body.run(record, trouble);
                code = broken == null ? 0 : BROKEN;
                record.add("verdict", broken == null ? "the rule held" : "the rule was broken: " + broken);
                System.out.println(folder + ": " + (broken == null ? "held" : "broken: " + broken));
            } catch (Exception failed) {
                code = NOT_RUN;
                record.add("verdict", "not run: " + failed);
                System.out.println(folder + ": not run: " + failed);
            }
        } catch (java.io.IOException failed) {
            System.out.println(folder + ": no record: " + failed);
            code = NOT_RUN;
        }
        System.exit(code);
    }
}
