package petrelplank.report;

/** A part of the HTML page. */
interface PageSection {
    /**
     * Writes the section.
     *
     * @param html where to
     */
    void write(HtmlWriter html);
}
