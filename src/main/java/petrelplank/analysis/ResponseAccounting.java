package petrelplank.analysis;

import java.util.List;

/**
 * Whether each request admitted got one final response. A missing entry proves nothing: only in an incarnation of
 * which every entry is there, a response that is not there was not given.
 */
final class ResponseAccounting {
    private long unanswered;
    private long unknown;
    private long duplicates;

    ResponseAccounting(List<Incarnation> incarnations) {
        for (Incarnation incarnation : incarnations) {
            boolean complete = incarnation.gaps().isEmpty();
            for (int balance : incarnation.requests().responseBalance().values()) {
                add(balance, complete);
            }
        }
    }

    private void add(int balance, boolean complete) {
        if (!complete) {
            unknown += Math.abs(balance);
        } else if (balance > 0) {
            unanswered += balance;
        } else {
            duplicates -= balance;
        }
    }

    long unanswered() {
        return unanswered;
    }

    long unknown() {
        return unknown;
    }

    long duplicates() {
        return duplicates;
    }
}
