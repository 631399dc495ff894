package petrelplank.report;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.jfree.chart.axis.SymbolAxis;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.xy.StandardXYBarPainter;
import org.jfree.chart.renderer.xy.XYBarRenderer;
import org.jfree.data.xy.XYIntervalSeries;
import org.jfree.data.xy.XYIntervalSeriesCollection;

/**
 * A chart of bars in rows over time.
 *
 * @param title read out for the drawing
 * @param rows names of the rows, from the top
 * @param bars what is drawn
 */
record TimelineChart(String title, List<String> rows, List<Bar> bars) {
    private static final int MARGIN_HEIGHT = 70;
    private static final int ROW_HEIGHT = 24;
    /** Half the height of a bar, in rows. */
    private static final double HALF_BAR = 0.35;
    /** A bar is drawn no shorter than this part of the whole. */
    private static final double MIN_BAR_PARTS = 300.0;

    /**
     * A bar.
     *
     * @param row its row
     * @param fromS from, in seconds
     * @param toS to, in seconds
     * @param colour the number of its colour
     */
    record Bar(int row, double fromS, double toS, int colour) {}

    /** Draws it over so many seconds. */
    String toSvg(long lengthS) {
        XYIntervalSeriesCollection data = new XYIntervalSeriesCollection();
        XYBarRenderer renderer = new XYBarRenderer();
        for (int colour = 0; colour < SvgDrawing.COLOURS; colour++) {
            data.addSeries(series(colour, lengthS));
            renderer.setSeriesPaint(colour, SvgDrawing.seriesPaint(colour));
        }
        renderer.setUseYInterval(true);
        renderer.setShadowVisible(false);
        renderer.setBarPainter(new StandardXYBarPainter());
        XYPlot plot = new XYPlot(data, SvgDrawing.timeAxis(lengthS), rowAxis(), renderer);
        return SvgDrawing.draw(title, plot, false, MARGIN_HEIGHT + ROW_HEIGHT * rows.size());
    }

    private XYIntervalSeries series(int colour, long lengthS) {
        XYIntervalSeries series = new XYIntervalSeries("c" + colour);
        for (Bar bar : bars) {
            if (bar.colour() == colour) {
                double row = rows.size() - 1 - bar.row();
                double toS = Math.max(bar.toS(), bar.fromS() + lengthS / MIN_BAR_PARTS);
                series.add(bar.fromS(), bar.fromS(), toS, row, row - HALF_BAR, row + HALF_BAR);
            }
        }
        return series;
    }

    private SymbolAxis rowAxis() {
        List<String> upwards = new ArrayList<>(rows);
        Collections.reverse(upwards);
        SymbolAxis axis = new SymbolAxis(null, upwards.toArray(String[]::new));
        axis.setGridBandsVisible(false);
        axis.setRange(-0.6, rows.size() - 0.4);
        return axis;
    }
}
