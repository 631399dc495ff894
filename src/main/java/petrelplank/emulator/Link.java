package petrelplank.emulator;

import java.util.PriorityQueue;

/**
 * A link that all its transfers share evenly, none faster than a transfer's own top pace (processor sharing). The
 * bytes that one transfer has had so far are those of any other that came with it, so that one running sum orders
 * all by their ends.
 */
final class Link {
    private final class Transfer implements Comparable<Transfer> {
        private final double endsAt;
        private final long order;
        private final Runnable done;

        Transfer(double endsAt, long order, Runnable done) {
            this.endsAt = endsAt;
            this.order = order;
            this.done = done;
        }

        @Override
        public int compareTo(Transfer other) {
            return endsAt != other.endsAt ? Double.compare(endsAt, other.endsAt) : Long.compare(order, other.order);
        }
    }

    private final EventScheduler clock;
    private final double bytesPerUs;
    private final double flowPerUs;
    private final PriorityQueue<Transfer> transfers = new PriorityQueue<>();
    private double part = 1;
    /** Bytes that each transfer under way has had since the link was last idle. */
    private double had;

    private long atUs;
    private long order;
    private long plan;

    /**
     * An idle link.
     *
     * @param clock simulated time
     * @param bytesPerUs all together
     * @param flowPerUs one transfer at most
     */
    Link(EventScheduler clock, double bytesPerUs, double flowPerUs) {
        this.clock = clock;
        this.bytesPerUs = bytesPerUs;
        this.flowPerUs = flowPerUs;
        this.atUs = clock.now();
    }

    int transfers() {
        return transfers.size();
    }

    /** Transfers over those that fit at full pace. */
    double use() {
        return transfers.size() / Math.max(1e-9, bytesPerUs * part / flowPerUs);
    }

    /** Sets the part of its capacity that the link has now. */
    void part(double now) {
        advance();
        part = now;
        replan();
    }

    void transfer(long bytes, Runnable done) {
        advance();
        transfers.add(new Transfer(had + bytes, order++, done));
        replan();
    }

    /** What is under way comes to nothing. */
    void clear() {
        advance();
        transfers.clear();
        replan();
    }

    private double pace() {
        return transfers.isEmpty() ? 0 : Math.min(flowPerUs, bytesPerUs * part / transfers.size());
    }

    private void advance() {
        had += pace() * (clock.now() - atUs);
        atUs = clock.now();
        if (transfers.isEmpty()) {
            had = 0;
        }
    }

    private void replan() {
        long mine = ++plan;
        if (!transfers.isEmpty()) {
            double left = Math.max(0, transfers.peek().endsAt - had);
            clock.after((long) Math.ceil(left / pace()), () -> due(mine));
        }
    }

    private void due(long mine) {
        if (mine != plan) {
            return;
        }
        advance();
        while (!transfers.isEmpty() && transfers.peek().endsAt <= had + 1e-6) {
            Transfer ended = transfers.poll();
            clock.after(0, ended.done);
        }
        replan();
    }
}
