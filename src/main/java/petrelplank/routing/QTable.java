package petrelplank.routing;

/** One parent's row of the Q table: the learned value of filling from it, by object group. */
final class QTable {
    /** Few object groups, so that each learns within seconds. */
    static final int GROUPS = 16;

    private static final double LEARNING_RATE = 0.1;

    private final double[] values = new double[GROUPS];
    private final boolean[] learned = new boolean[GROUPS];

    /** The group of an object. */
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

    /** Moves a value by a part towards the payoff; parents pass nothing back, so there is no value to come. */
    void learn(int group, double payoff, double fallback) {
        values[group] = value(group, fallback);
        values[group] += LEARNING_RATE * (payoff - values[group]);
        learned[group] = true;
    }
}
