package petrelplank.routing;

/** Checks of values in settings. */
final class Checks {
    private Checks() {}

    /** Throws where a value is out of range; the message names the setting and the value. */
    static void require(boolean holds, String name, Object value) {
        if (!holds) {
            throw new IllegalArgumentException("setting " + name + ": bad value " + value);
        }
    }
}
