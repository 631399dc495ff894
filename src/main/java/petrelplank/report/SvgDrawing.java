package petrelplank.report;

import java.awt.BasicStroke;
import java.awt.Color;
import java.awt.Font;
import java.awt.geom.Rectangle2D;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.NumberAxis;
import org.jfree.chart.axis.SymbolAxis;
import org.jfree.chart.axis.ValueAxis;
import org.jfree.chart.block.BlockBorder;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.xy.StandardXYBarPainter;
import org.jfree.chart.renderer.xy.XYBarRenderer;
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer;
import org.jfree.data.xy.XYIntervalSeries;
import org.jfree.data.xy.XYIntervalSeriesCollection;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;
import org.jfree.svg.SVGGraphics2D;

/**
 * Charts as SVG, drawn by JFreeChart. Colours are drawn as placeholders and replaced by the page's own, so that one
 * drawing reads in light, dark and print.
 */
final class SvgDrawing {
    private static final int WIDTH = 900;
    private static final Color INK = new Color(1, 2, 3);
    private static final Color GRID = new Color(4, 5, 6);
    private static final Color[] LINES = {
        new Color(11, 1, 1), new Color(11, 1, 2), new Color(11, 1, 3), new Color(11, 1, 4), new Color(11, 1, 5)
    };
    private static final Font FONT = new Font(Font.SANS_SERIF, Font.PLAIN, 13);
    private static final float[][] DASHES = {null, {7, 3}, {2, 3}, {9, 3, 2, 3}, {4, 4}};

    /**
     * A line of a chart.
     *
     * @param name its name in the legend
     * @param points figure by second
     */
    record Line(String name, Map<Long, Double> points) {}

    /**
     * A bar of a timeline.
     *
     * @param row its row
     * @param fromS from, in seconds
     * @param toS to, in seconds
     * @param colour 0 to 4
     */
    record Bar(int row, double fromS, double toS, int colour) {}

    private SvgDrawing() {}

    /**
     * Steps over seconds.
     *
     * @param title read out for the drawing
     * @param unit of the figures
     * @param lines what is drawn
     * @param fromS the first second
     * @param toS the last second
     * @return SVG
     */
    static String steps(String title, String unit, List<Line> lines, long fromS, long toS) {
        XYSeriesCollection data = new XYSeriesCollection();
        double most = 1;
        for (Line line : lines) {
            XYSeries series = new XYSeries(line.name(), false, true);
            for (long s = fromS; s <= toS; s++) {
                // What is not known is not drawn as nothing: the line breaks.
                Double value = line.points().get(s);
                series.add(s - fromS, value == null ? Double.NaN : value.doubleValue());
                series.add(s - fromS + 1, value == null ? Double.NaN : value.doubleValue());
                most = value == null ? most : Math.max(most, value);
            }
            data.addSeries(series);
        }
        XYLineAndShapeRenderer renderer = new XYLineAndShapeRenderer(true, false);
        renderer.setDrawSeriesLineAsPath(true);
        for (int i = 0; i < lines.size(); i++) {
            renderer.setSeriesPaint(i, LINES[i % LINES.length]);
            renderer.setSeriesStroke(
                    i,
                    new BasicStroke(
                            2f, BasicStroke.CAP_BUTT, BasicStroke.JOIN_MITER, 10f, DASHES[i % DASHES.length], 0f));
        }
        NumberAxis y = new NumberAxis(unit);
        y.setRange(0, most * 1.05);
        XYPlot plot = new XYPlot(data, axis(toS - fromS), y, renderer);
        return draw(title, plot, lines.size() > 1, 260);
    }

    /**
     * Bars in rows over time.
     *
     * @param title read out for the drawing
     * @param rows names of the rows, from the top
     * @param bars what is drawn
     * @param lengthS seconds in all
     * @return SVG
     */
    static String timeline(String title, List<String> rows, List<Bar> bars, long lengthS) {
        XYIntervalSeriesCollection data = new XYIntervalSeriesCollection();
        XYBarRenderer renderer = new XYBarRenderer();
        for (int c = 0; c < LINES.length; c++) {
            XYIntervalSeries series = new XYIntervalSeries("c" + c);
            for (Bar bar : bars) {
                if (bar.colour() == c) {
                    double row = rows.size() - 1 - bar.row();
                    double to = Math.max(bar.toS(), bar.fromS() + lengthS / 300.0);
                    series.add(bar.fromS(), bar.fromS(), to, row, row - 0.35, row + 0.35);
                }
            }
            data.addSeries(series);
            renderer.setSeriesPaint(c, LINES[c]);
        }
        renderer.setUseYInterval(true);
        renderer.setShadowVisible(false);
        renderer.setBarPainter(new StandardXYBarPainter());
        List<String> upwards = new ArrayList<>(rows);
        Collections.reverse(upwards);
        SymbolAxis y = new SymbolAxis(null, upwards.toArray(String[]::new));
        y.setGridBandsVisible(false);
        y.setRange(-0.6, rows.size() - 0.4);
        XYPlot plot = new XYPlot(data, axis(lengthS), y, renderer);
        return draw(title, plot, false, 70 + 24 * rows.size());
    }

    /** Whole or tenths of a pixel: no one sees more, and the page stays small. */
    private static String tenths(double value) {
        long t = Math.round(value * 10);
        return t % 10 == 0 ? Long.toString(t / 10) : Double.toString(t / 10.0);
    }

    private static NumberAxis axis(long lengthS) {
        NumberAxis x = new NumberAxis("seconds from the start of the records");
        x.setRange(0, Math.max(1, lengthS + 1));
        return x;
    }

    private static String draw(String title, XYPlot plot, boolean legend, int height) {
        JFreeChart chart = new JFreeChart(null, FONT, plot, legend);
        chart.setBackgroundPaint(null);
        chart.setBorderVisible(false);
        plot.setBackgroundPaint(null);
        plot.setOutlinePaint(GRID);
        plot.setDomainGridlinePaint(GRID);
        plot.setRangeGridlinePaint(GRID);
        for (ValueAxis axis : new ValueAxis[] {plot.getDomainAxis(), plot.getRangeAxis()}) {
            axis.setLabelFont(FONT);
            axis.setTickLabelFont(FONT);
            axis.setLabelPaint(INK);
            axis.setTickLabelPaint(INK);
            axis.setAxisLinePaint(INK);
            axis.setTickMarkPaint(INK);
        }
        if (legend) {
            chart.getLegend().setBackgroundPaint(null);
            chart.getLegend().setItemPaint(INK);
            chart.getLegend().setItemFont(FONT);
            chart.getLegend().setFrame(BlockBorder.NONE);
        }
        SVGGraphics2D g = new SVGGraphics2D(WIDTH, height);
        // Names of parts must differ between the drawings of a page, and be the same each time.
        g.setDefsKeyPrefix(HtmlWriter.id(title));
        g.setGeomDoubleConverter(SvgDrawing::tenths);
        g.setTransformDoubleConverter(SvgDrawing::tenths);
        chart.draw(g, new Rectangle2D.Double(0, 0, WIDTH, height));
        String svg = g.getSVGElement(null, true, null, null, null);
        svg = svg.replace("rgb(1,2,3)", "var(--ink)").replace("rgb(4,5,6)", "var(--grid)");
        for (int i = 0; i < LINES.length; i++) {
            svg = svg.replace("rgb(11,1," + (i + 1) + ")", "var(--c" + i + ")");
        }
        return svg.replaceFirst(
                        "<svg ",
                        "<svg viewBox=\"0 0 " + WIDTH + " " + height + "\" role=\"img\" aria-label=\""
                                + HtmlWriter.text(title) + "\" ")
                .replaceFirst(" width=\"" + WIDTH + "\"", "")
                .replaceFirst(" height=\"" + height + "\"", "");
    }
}
