package petrelplank.cli;

/** Formats of log lines. */
enum LogFormat {
    /** Plain text: time, level, class and message. */
    TEXT("text"),
    /** One JSON object per line, in the Elastic Common Schema. */
    JSON("json");

    private final String optionValue;

    LogFormat(String optionValue) {
        this.optionValue = optionValue;
    }

    /** Returns the value of the option {@code --log-format} for this format; the help text shows it too. */
    @Override
    public String toString() {
        return optionValue;
    }
}
