package petrelplank.report;

import java.util.List;
import java.util.Map;
import org.jfree.chart.axis.NumberAxis;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/**
 * A chart of figures by second, as steps.
 *
 * @param title read out for the drawing
 * @param unit of the figures
 * @param lines what is drawn
 */
record StepChart(String title, String unit, List<Line> lines) {
    private static final int HEIGHT = 260;
    /** Room above the highest figure. */
    private static final double HEADROOM = 1.05;

    /**
     * A line of the chart.
     *
     * @param name its name in the legend
     * @param points figure by second; the line breaks where one is missing
     */
    record Line(String name, Map<Long, Double> points) {}

    /** Draws it from a second to another, both included. */
    String toSvg(long firstSecond, long lastSecond) {
        XYSeriesCollection data = new XYSeriesCollection();
        XYLineAndShapeRenderer renderer = new XYLineAndShapeRenderer(true, false);
        renderer.setDrawSeriesLineAsPath(true);
        double highest = 1;
        for (Line line : lines) {
            XYSeries series = series(line, firstSecond, lastSecond);
            // Not a number where the line has no point at all.
            highest = Double.isNaN(series.getMaxY()) ? highest : Math.max(highest, series.getMaxY());
            int index = data.getSeriesCount();
            renderer.setSeriesPaint(index, SvgDrawing.seriesPaint(index));
            renderer.setSeriesStroke(index, SvgDrawing.seriesStroke(index));
            data.addSeries(series);
        }
        NumberAxis figureAxis = new NumberAxis(unit);
        figureAxis.setRange(0, highest * HEADROOM);
        XYPlot plot = new XYPlot(data, SvgDrawing.timeAxis(lastSecond - firstSecond), figureAxis, renderer);
        return SvgDrawing.draw(title, plot, lines.size() > 1, HEIGHT);
    }

    private static XYSeries series(Line line, long firstSecond, long lastSecond) {
        XYSeries series = new XYSeries(line.name(), false, true);
        for (long second = firstSecond; second <= lastSecond; second++) {
            // What is not known is not drawn as zero: the line breaks.
            double value = line.points().getOrDefault(second, Double.NaN);
            series.add(second - firstSecond, value);
            series.add(second - firstSecond + 1, value);
        }
        return series;
    }
}
