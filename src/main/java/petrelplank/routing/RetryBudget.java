package petrelplank.routing;

/** Retries in proportion to requests: each request earns a part of one, up to a bound. */
final class RetryBudget {
    private static final double EARNED_PER_REQUEST = 0.2;
    private static final double MAX_RETRIES = 20;

    private double retries = MAX_RETRIES;

    /** A request came in. */
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
