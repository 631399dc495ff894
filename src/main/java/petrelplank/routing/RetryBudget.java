package petrelplank.routing;

/** Limits retries to a fraction of requests: each request adds that fraction to the budget, up to a maximum. */
final class RetryBudget {
    private static final double RETRIES_PER_REQUEST = 0.2;
    private static final double MAX_BALANCE = 20;

    private double balance = MAX_BALANCE;

    /** Adds the share of one request to the budget. */
    void deposit() {
        balance = Math.min(MAX_BALANCE, balance + RETRIES_PER_REQUEST);
    }

    boolean canAfford(double cost) {
        return balance >= cost;
    }

    void withdraw(double cost) {
        balance -= cost;
    }
}
