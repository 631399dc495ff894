package petrelplank.routing;

/** One parent's row of the Q table: the learned value of filling from this parent, for each object group. */
final class QTable {
    /** Number of object groups; a small number, so that each group gets enough fills to be learned within seconds. */
    static final int GROUPS = 16;

    private static final double LEARNING_RATE = 0.1;

    private final double[] values = new double[GROUPS];
    private final boolean[] learned = new boolean[GROUPS];

    /** Returns the group of an object. */
    static int groupOf(long object) {
        return (int) Long.remainderUnsigned(Hash.mix(object), GROUPS);
    }

    boolean isLearned(int group) {
        return learned[group];
    }

    double value(int group) {
        return values[group];
    }

    double value(int group, double fallback) {
        return learned[group] ? values[group] : fallback;
    }

    /**
     * Moves the group's value towards the reward by the learning rate. There is no discounted future value, because a
     * fill leads to no further decision.
     */
    void learn(int group, double payoff, double fallback) {
        values[group] = value(group, fallback);
        values[group] += LEARNING_RATE * (payoff - values[group]);
        learned[group] = true;
    }
}
