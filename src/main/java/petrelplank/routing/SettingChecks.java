package petrelplank.routing;

/** Validation of setting values. */
final class SettingChecks {
    private SettingChecks() {}

    /**
     * Throws an {@link IllegalArgumentException} unless the value is valid; the message has the setting and the value.
     *
     * @param name key of the setting in the configuration, followed by the rule that it has to keep
     */
    static void require(boolean valid, String name, Object value) {
        if (!valid) {
            throw new IllegalArgumentException("invalid setting " + name + ": found " + value);
        }
    }
}
