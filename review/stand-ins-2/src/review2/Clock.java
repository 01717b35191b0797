package review2;

/** The times of a run, in milliseconds since its start. */
final class Clock {
    private static final long START = System.nanoTime();

    private Clock() {}

    static long ms() {
        return (System.nanoTime() - START) / 1_000_000L;
    }

    static long wallMs() {
        return System.currentTimeMillis();
    }

    static void sleepUntil(long ms) throws InterruptedException {
        long left = ms - ms();
        if (left > 0) Thread.sleep(left);
    }
}
