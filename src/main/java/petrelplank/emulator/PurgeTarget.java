package petrelplank.emulator;

/**
 * What a purge means: one object or a group of objects.
 *
 * @param object the object; null for a whole group
 * @param group the group, where no object is named
 */
record PurgeTarget(Long object, int group) {
    private static final int NO_GROUP = -1;

    static PurgeTarget ofObject(long object) {
        return new PurgeTarget(object, NO_GROUP);
    }

    static PurgeTarget ofGroup(int group) {
        return new PurgeTarget(null, group);
    }

    /** Whether an object of a group is meant. */
    boolean matches(long otherObject, int otherGroup) {
        return object != null ? object == otherObject : group == otherGroup;
    }
}
