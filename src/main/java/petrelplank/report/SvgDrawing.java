package petrelplank.report;

import java.awt.BasicStroke;
import java.awt.Color;
import java.awt.Font;
import java.awt.Paint;
import java.awt.Stroke;
import java.awt.geom.Rectangle2D;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.NumberAxis;
import org.jfree.chart.axis.ValueAxis;
import org.jfree.chart.block.BlockBorder;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.title.LegendTitle;
import org.jfree.svg.SVGGraphics2D;

/**
 * Draws plots of JFreeChart as SVG. Colours are drawn as placeholders and replaced by CSS variables of the page, so
 * that one drawing reads in light, dark and print.
 */
final class SvgDrawing {
    /** How many colours there are for series. */
    static final int COLOURS = 5;

    private static final int WIDTH = 900;
    private static final Color INK = new Color(1, 2, 3);
    private static final Color GRID = new Color(4, 5, 6);
    private static final int SERIES_RED = 11;
    private static final int SERIES_GREEN = 1;
    private static final Font FONT = new Font(Font.SANS_SERIF, Font.PLAIN, 13);
    private static final float LINE_WIDTH = 2f;
    private static final float MITER_LIMIT = 10f;
    private static final float[][] DASHES = {null, {7, 3}, {2, 3}, {9, 3, 2, 3}, {4, 4}};

    private SvgDrawing() {}

    /** The colour of a series. */
    static Paint seriesPaint(int series) {
        return new Color(SERIES_RED, SERIES_GREEN, series % COLOURS + 1);
    }

    /** The line of a series: they differ in their dashes too, for those who can't tell the colours apart. */
    static Stroke seriesStroke(int series) {
        float[] dash = DASHES[series % DASHES.length];
        return new BasicStroke(LINE_WIDTH, BasicStroke.CAP_BUTT, BasicStroke.JOIN_MITER, MITER_LIMIT, dash, 0f);
    }

    /** The axis of time, for so many seconds. */
    static NumberAxis timeAxis(long lengthS) {
        NumberAxis axis = new NumberAxis("seconds from the start of the records");
        axis.setRange(0, Math.max(1, lengthS + 1));
        return axis;
    }

    /**
     * Draws a plot.
     *
     * @param title read out for the drawing
     * @param plot what is drawn
     * @param withLegend whether it has a legend
     * @param height in pixels
     * @return the SVG element
     */
    static String draw(String title, XYPlot plot, boolean withLegend, int height) {
        JFreeChart chart = new JFreeChart(null, FONT, plot, withLegend);
        chart.setBackgroundPaint(null);
        chart.setBorderVisible(false);
        stylePlot(plot);
        if (withLegend) {
            styleLegend(chart.getLegend());
        }
        SVGGraphics2D graphics = new SVGGraphics2D(WIDTH, height);
        // Ids of definitions must differ between the drawings of a page, and be the same each time.
        graphics.setDefsKeyPrefix(HtmlWriter.toId(title));
        graphics.setGeomDoubleConverter(SvgDrawing::tenths);
        graphics.setTransformDoubleConverter(SvgDrawing::tenths);
        chart.draw(graphics, new Rectangle2D.Double(0, 0, WIDTH, height));
        return scalable(withPageColours(graphics.getSVGElement(null, true, null, null, null)), title, height);
    }

    private static void stylePlot(XYPlot plot) {
        plot.setBackgroundPaint(null);
        plot.setOutlinePaint(GRID);
        plot.setDomainGridlinePaint(GRID);
        plot.setRangeGridlinePaint(GRID);
        styleAxis(plot.getDomainAxis());
        styleAxis(plot.getRangeAxis());
    }

    private static void styleAxis(ValueAxis axis) {
        axis.setLabelFont(FONT);
        axis.setTickLabelFont(FONT);
        axis.setLabelPaint(INK);
        axis.setTickLabelPaint(INK);
        axis.setAxisLinePaint(INK);
        axis.setTickMarkPaint(INK);
    }

    private static void styleLegend(LegendTitle legend) {
        legend.setBackgroundPaint(null);
        legend.setItemPaint(INK);
        legend.setItemFont(FONT);
        legend.setFrame(BlockBorder.NONE);
    }

    private static String withPageColours(String svg) {
        String coloured = svg.replace("rgb(1,2,3)", "var(--ink)").replace("rgb(4,5,6)", "var(--grid)");
        for (int series = 0; series < COLOURS; series++) {
            String placeholder = "rgb(" + SERIES_RED + "," + SERIES_GREEN + "," + (series + 1) + ")";
            coloured = coloured.replace(placeholder, "var(--c" + series + ")");
        }
        return coloured;
    }

    /** With a view box in place of a size, and a name for screen readers. */
    private static String scalable(String svg, String title, int height) {
        String attributes = "viewBox=\"0 0 " + WIDTH + " " + height + "\" role=\"img\" aria-label=\""
                + HtmlWriter.escape(title) + "\" ";
        return svg.replaceFirst("<svg ", "<svg " + attributes)
                .replaceFirst(" width=\"" + WIDTH + "\"", "")
                .replaceFirst(" height=\"" + height + "\"", "");
    }

    /** Tenths of a pixel are as much as is seen, and the page stays small. */
    private static String tenths(double value) {
        long tenths = Math.round(value * 10);
        return tenths % 10 == 0 ? Long.toString(tenths / 10) : Double.toString(tenths / 10.0);
    }
}
