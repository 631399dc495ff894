package petrelplank.emulator;

import java.util.PriorityQueue;

/**
 * A network link whose capacity is shared evenly by all transfers (processor sharing), each limited to a maximum
 * speed. Since all transfers progress at the same speed, one running sum of the bytes that each has received
 * determines the order in which they complete.
 */
final class Link {
    /** Tolerance for rounding errors of the running sum, which must not delay the completion of a transfer. */
    private static final double TOLERANCE_BYTES = 1e-6;

    private record Transfer(double completesAtBytes, long sequenceNumber, Runnable onComplete)
            implements Comparable<Transfer> {
        @Override
        public int compareTo(Transfer other) {
            int byCompletion = Double.compare(completesAtBytes, other.completesAtBytes);
            return byCompletion != 0 ? byCompletion : Long.compare(sequenceNumber, other.sequenceNumber);
        }
    }

    private final EventScheduler clock;
    private final double bytesPerUs;
    private final double maxTransferBytesPerUs;
    private final PriorityQueue<Transfer> transfers = new PriorityQueue<>();
    private double capacityShare = 1;
    /** Bytes received by a transfer that started when the link was last idle. */
    private double progressBytes;
    /** Time up to which {@link #progressBytes} is computed. */
    private long progressAtUs;

    private long transfersStarted;
    /** Number of the valid scheduled completion. Any change to the link supersedes the earlier ones. */
    private long validCompletion;

    /**
     * Creates an idle link.
     *
     * @param clock simulated clock
     * @param bytesPerUs capacity of the link
     * @param maxTransferBytesPerUs maximum speed of one transfer
     */
    Link(EventScheduler clock, double bytesPerUs, double maxTransferBytesPerUs) {
        this.clock = clock;
        this.bytesPerUs = bytesPerUs;
        this.maxTransferBytesPerUs = maxTransferBytesPerUs;
        this.progressAtUs = clock.nowUs();
    }

    /** Returns the number of transfers in flight divided by the number that the link can carry at maximum speed. */
    double utilization() {
        return transfers.size() / Math.max(1e-9, bytesPerUs * capacityShare / maxTransferBytesPerUs);
    }

    /** Sets the share of its capacity that the link can use from now on. */
    void setCapacityShare(double share) {
        updateProgress();
        capacityShare = share;
        scheduleCompletion();
    }

    /** Starts a transfer and runs a task when it completes. */
    void transfer(long bytes, Runnable onComplete) {
        updateProgress();
        transfers.add(new Transfer(progressBytes + bytes, transfersStarted++, onComplete));
        scheduleCompletion();
    }

    /** Drops all transfers in flight; their completion tasks do not run. */
    void clear() {
        updateProgress();
        transfers.clear();
        scheduleCompletion();
    }

    private double currentTransferBytesPerUs() {
        return transfers.isEmpty() ? 0 : Math.min(maxTransferBytesPerUs, bytesPerUs * capacityShare / transfers.size());
    }

    private void updateProgress() {
        progressBytes += currentTransferBytesPerUs() * (clock.nowUs() - progressAtUs);
        progressAtUs = clock.nowUs();
        if (transfers.isEmpty()) {
            progressBytes = 0;
        }
    }

    private void scheduleCompletion() {
        long completion = ++validCompletion;
        if (!transfers.isEmpty()) {
            double remainingBytes = Math.max(0, transfers.peek().completesAtBytes() - progressBytes);
            clock.after(
                    (long) Math.ceil(remainingBytes / currentTransferBytesPerUs()),
                    () -> completeTransfers(completion));
        }
    }

    private void completeTransfers(long completion) {
        if (completion != validCompletion) {
            return;
        }
        updateProgress();
        while (!transfers.isEmpty() && transfers.peek().completesAtBytes() <= progressBytes + TOLERANCE_BYTES) {
            clock.after(0, transfers.poll().onComplete());
        }
        scheduleCompletion();
    }
}
