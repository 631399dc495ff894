package petrelplank.routing;

/** Limits retries to a fraction of requests: each request adds that fraction to the budget, up to a maximum. */
final class RetryBudget {
    private static final double EARNED_PER_REQUEST = 0.2;
    private static final double MAX_RETRIES = 20;

    private double retries = MAX_RETRIES;

    /** Adds the share of one request to the budget. */
    void earn() {
        retries = Math.min(MAX_RETRIES, retries + EARNED_PER_REQUEST);
    }

    boolean canAfford(double cost) {
        return retries >= cost;
    }

    void spend(double cost) {
        retries -= cost;
    }
}
