package petrelplank.routing;

/** One parent's row of the Q table: the learned value of filling from this parent, for each object group. */
final class QTable {
    /** Number of object groups; a small number, so that each group gets enough fills to be learned within seconds. */
    static final int GROUP_COUNT = 16;

    private static final double LEARNING_RATE = 0.1;

    private final double[] values = new double[GROUP_COUNT];
    private final boolean[] learned = new boolean[GROUP_COUNT];

    /** Returns the group of an object. */
    static int groupOf(long object) {
        return (int) Long.remainderUnsigned(Hash.mix(object), GROUP_COUNT);
    }

    boolean isLearned(int group) {
        return learned[group];
    }

    double value(int group) {
        return values[group];
    }

    double value(int group, double defaultValue) {
        return learned[group] ? values[group] : defaultValue;
    }

    /**
     * Moves the group's value towards the reward by the learning rate. There is no discounted future value, because a
     * fill leads to no further decision.
     */
    void learn(int group, double reward, double defaultValue) {
        values[group] = value(group, defaultValue);
        values[group] += LEARNING_RATE * (reward - values[group]);
        learned[group] = true;
    }
}
