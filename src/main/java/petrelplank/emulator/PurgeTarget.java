package petrelplank.emulator;

/**
 * The objects that a purge removes: a single object or all objects of a group.
 *
 * @param object id of the object, or null to purge a whole group
 * @param group the purged group, if {@code object} is null
 */
record PurgeTarget(Long object, int group) {
    private static final int NO_GROUP = -1;

    static PurgeTarget ofObject(long object) {
        return new PurgeTarget(object, NO_GROUP);
    }

    static PurgeTarget ofGroup(int group) {
        return new PurgeTarget(null, group);
    }

    /** Returns whether the purge applies to an object that belongs to a group. */
    boolean matches(long candidateObject, int candidateGroup) {
        return object != null ? object == candidateObject : group == candidateGroup;
    }
}
