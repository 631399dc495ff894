package petrelplank.routing;

/** Checks of figures that settings tell. */
final class Checks {
    private Checks() {}

    /** Ends with a message that names the setting and the value that it can't have. */
    static void require(boolean holds, String name, Object value) {
        if (!holds) {
            throw new IllegalArgumentException("setting " + name + ": bad value " + value);
        }
    }
}
