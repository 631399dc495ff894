package petrelplank.report;

import java.util.Locale;

/** Writes HTML: what comes from records is always escaped. */
final class HtmlWriter {
    private final StringBuilder out = new StringBuilder();

    static String text(Object value) {
        return String.valueOf(value)
                .replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;")
                .replace("'", "&#39;");
    }

    static String id(String name) {
        return name.replaceAll("[^A-Za-z0-9-]", "_");
    }

    /** Raw markup of the program's own. */
    HtmlWriter raw(String markup) {
        out.append(markup).append('\n');
        return this;
    }

    /** An element with text in it. */
    HtmlWriter tag(String name, Object content) {
        return raw("<" + name + ">" + text(content) + "</" + name.split(" ")[0] + ">");
    }

    /** A table's head; every column but the first holds figures. */
    HtmlWriter head(String caption, String... columns) {
        raw("<div class=\"wide\" tabindex=\"0\" role=\"region\" aria-label=\"" + text(caption) + "\"><table><caption>"
                + text(caption) + "</caption><thead><tr>");
        for (String column : columns) {
            raw("<th scope=\"col\">" + text(column) + "</th>");
        }
        return raw("</tr></thead><tbody>");
    }

    /** A row; the first cell may link to a section. */
    HtmlWriter row(String link, Object... cells) {
        raw("<tr>");
        for (int i = 0; i < cells.length; i++) {
            Object c = cells[i] instanceof Double d ? figure(d) : cells[i];
            String inner = i == 0 && link != null ? "<a href=\"#" + id(link) + "\">" + text(c) + "</a>" : text(c);
            raw(
                    i == 0
                            ? "<th scope=\"row\">" + inner + "</th>"
                            : (cells[i] instanceof Number ? "<td class=\"n\">" : "<td>") + inner + "</td>");
        }
        return raw("</tr>");
    }

    HtmlWriter end() {
        return raw("</tbody></table></div>");
    }

    static String figure(double value) {
        return Double.isNaN(value)
                ? "unknown"
                : String.format(Locale.ROOT, Math.abs(value) < 10 ? "%.2f" : "%,.1f", value);
    }

    @Override
    public String toString() {
        return out.toString();
    }
}
