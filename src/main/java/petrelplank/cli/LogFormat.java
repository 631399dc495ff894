package petrelplank.cli;

/** The forms that log lines may have. */
enum LogFormat {
    /** Time, level, class and text. */
    TEXT("text"),
    /** An object a line, in the Elastic Common Schema. */
    JSON("json");

    private final String optionValue;

    LogFormat(String optionValue) {
        this.optionValue = optionValue;
    }

    /** The value of the option {@code --log-format}, which help shows too. */
    @Override
    public String toString() {
        return optionValue;
    }
}
