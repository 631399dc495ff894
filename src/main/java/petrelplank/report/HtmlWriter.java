package petrelplank.report;

import java.util.Locale;

/** Writes HTML: what comes from records is always escaped. */
final class HtmlWriter {
    private final StringBuilder out = new StringBuilder();

    /** A value as text of an element or an attribute. */
    static String escape(Object value) {
        return String.valueOf(value)
                .replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;")
                .replace("'", "&#39;");
    }

    /** A name as an element's id. */
    static String toId(String name) {
        return name.replaceAll("[^A-Za-z0-9-]", "_");
    }

    /** A link to the section of an endpoint, proxy or zone. */
    static String link(String name) {
        return "<a href=\"#" + toId(name) + "\">" + escape(name) + "</a>";
    }

    /** A number in the digits that a reader needs. */
    static String formatNumber(double value) {
        if (Double.isNaN(value)) {
            return "unknown";
        }
        return String.format(Locale.ROOT, Math.abs(value) < 10 ? "%.2f" : "%,.1f", value);
    }

    /** Markup of the program's own, not escaped. */
    HtmlWriter markup(String markup) {
        out.append(markup).append('\n');
        return this;
    }

    /** An element with text in it; attributes may follow the name. */
    HtmlWriter element(String nameAndAttributes, Object content) {
        String name = nameAndAttributes.split(" ")[0];
        return markup("<" + nameAndAttributes + ">" + escape(content) + "</" + name + ">");
    }

    /** Begins a section with its heading. */
    HtmlWriter beginSection(String id, String heading) {
        return markup("<section id=\"" + id + "\">").element("h2", heading);
    }

    HtmlWriter endSection() {
        return markup("</section>");
    }

    /** A drawing with its caption. */
    HtmlWriter figure(String caption, String svg) {
        return markup("<figure><figcaption>" + escape(caption) + "</figcaption>" + svg + "</figure>");
    }

    /** A drawing that is shown when its name is clicked. */
    HtmlWriter foldedFigure(String name, String caption, String svg) {
        return markup("<details id=\"" + toId(name) + "\"><summary>" + escape(name) + "</summary>")
                .figure(caption, svg)
                .markup("</details>");
    }

    /** Begins a table; every column but the first holds figures. */
    HtmlWriter beginTable(String caption, String... columns) {
        String escapedCaption = escape(caption);
        markup("<div class=\"wide\" tabindex=\"0\" role=\"region\" aria-label=\"" + escapedCaption
                + "\"><table><caption>" + escapedCaption + "</caption><thead><tr>");
        for (String column : columns) {
            markup("<th scope=\"col\">" + escape(column) + "</th>");
        }
        return markup("</tr></thead><tbody>");
    }

    /** A row. */
    HtmlWriter row(String name, Object... cells) {
        return row(false, name, cells);
    }

    /** A row whose name links to its section. */
    HtmlWriter linkedRow(String name, Object... cells) {
        return row(true, name, cells);
    }

    private HtmlWriter row(boolean linked, String name, Object... cells) {
        markup("<tr>");
        markup("<th scope=\"row\">" + (linked ? link(name) : escape(name)) + "</th>");
        for (Object cell : cells) {
            Object shown = cell instanceof Double number ? formatNumber(number) : cell;
            markup((cell instanceof Number ? "<td class=\"n\">" : "<td>") + escape(shown) + "</td>");
        }
        return markup("</tr>");
    }

    HtmlWriter endTable() {
        return markup("</tbody></table></div>");
    }

    @Override
    public String toString() {
        return out.toString();
    }
}
