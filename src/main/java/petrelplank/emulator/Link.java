package petrelplank.emulator;

import java.util.PriorityQueue;

/**
 * A link whose capacity all transfers share evenly, none faster than the top speed of one transfer (processor
 * sharing). Since all transfers progress at the same speed, one running sum of bytes orders them by their ends.
 */
final class Link {
    /** Rounding of the running sum that may not delay an end. */
    private static final double TOLERANCE_BYTES = 1e-6;

    private record Transfer(double endsAtBytes, long order, Runnable done) implements Comparable<Transfer> {
        @Override
        public int compareTo(Transfer other) {
            int byEnd = Double.compare(endsAtBytes, other.endsAtBytes);
            return byEnd != 0 ? byEnd : Long.compare(order, other.order);
        }
    }

    private final EventScheduler clock;
    private final double bytesPerUs;
    private final double transferBytesPerUs;
    private final PriorityQueue<Transfer> transfers = new PriorityQueue<>();
    private double capacityShare = 1;
    /** Bytes that a transfer has had that has been under way since the link was last idle. */
    private double progressBytes;

    private long progressAtUs;
    private long transfersStarted;
    /** Number of the planned end that is valid; any change of the link makes earlier ones void. */
    private long planNumber;

    /**
     * An idle link.
     *
     * @param clock simulated time
     * @param bytesPerUs capacity of the link
     * @param transferBytesPerUs top speed of one transfer
     */
    Link(EventScheduler clock, double bytesPerUs, double transferBytesPerUs) {
        this.clock = clock;
        this.bytesPerUs = bytesPerUs;
        this.transferBytesPerUs = transferBytesPerUs;
        this.progressAtUs = clock.nowUs();
    }

    /** Transfers under way over those that fit at top speed. */
    double utilization() {
        return transfers.size() / Math.max(1e-9, bytesPerUs * capacityShare / transferBytesPerUs);
    }

    /** Sets the share of its capacity that the link has from now on. */
    void setCapacityShare(double share) {
        advance();
        capacityShare = share;
        plan();
    }

    void transfer(long bytes, Runnable done) {
        advance();
        transfers.add(new Transfer(progressBytes + bytes, transfersStarted++, done));
        plan();
    }

    /** Drops what is under way. */
    void clear() {
        advance();
        transfers.clear();
        plan();
    }

    private double currentBytesPerUs() {
        return transfers.isEmpty() ? 0 : Math.min(transferBytesPerUs, bytesPerUs * capacityShare / transfers.size());
    }

    private void advance() {
        progressBytes += currentBytesPerUs() * (clock.nowUs() - progressAtUs);
        progressAtUs = clock.nowUs();
        if (transfers.isEmpty()) {
            progressBytes = 0;
        }
    }

    private void plan() {
        long number = ++planNumber;
        if (!transfers.isEmpty()) {
            double leftBytes = Math.max(0, transfers.peek().endsAtBytes() - progressBytes);
            clock.after((long) Math.ceil(leftBytes / currentBytesPerUs()), () -> endTransfers(number));
        }
    }

    private void endTransfers(long number) {
        if (number != planNumber) {
            return;
        }
        advance();
        while (!transfers.isEmpty() && transfers.peek().endsAtBytes() <= progressBytes + TOLERANCE_BYTES) {
            clock.after(0, transfers.poll().done());
        }
        plan();
    }
}
