package petrelplank.report;

/** What is missing in the figures, where something is. */
record MissingRecordsSection(ReportData data) implements PageSection {
    @Override
    public void write(HtmlWriter html) {
        int incompleteSeconds = data.incompleteSeconds().size();
        if (incompleteSeconds == 0 && data.unreadable().isEmpty()) {
            return;
        }
        html.markup("<section class=\"doubt\" aria-label=\"What is missing\">");
        if (incompleteSeconds > 0) {
            html.element(
                    "p",
                    "Records are missing in " + incompleteSeconds + " seconds. Their figures are too small by"
                            + " an unknown amount, and are not drawn.");
        }
        data.unreadable().forEach(line -> html.element("p", line));
        html.endSection();
    }
}
