package petrelplank.analysis;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

/** Rows of integers in one array, so that millions of them take little memory; unordered until they are read. */
final class LongTable {
    private static final int INITIAL_ROWS = 16;

    private final int width;
    private long[] cells;
    private int rows;

    LongTable(int width) {
        this.width = width;
        this.cells = new long[INITIAL_ROWS * width];
    }

    void add(long... row) {
        if ((rows + 1) * width > cells.length) {
            cells = Arrays.copyOf(cells, cells.length + cells.length / 2 + width);
        }
        System.arraycopy(row, 0, cells, rows * width, width);
        rows++;
    }

    int size() {
        return rows;
    }

    long get(int row, int column) {
        return cells[row * width + column];
    }

    /** Copies of the rows, ordered by their columns from the first: the same whatever order they were added in. */
    List<long[]> sorted() {
        List<long[]> sorted = new ArrayList<>(rows);
        for (int row = 0; row < rows; row++) {
            sorted.add(Arrays.copyOfRange(cells, row * width, (row + 1) * width));
        }
        sorted.sort(Comparator.comparing((long[] row) -> row, Arrays::compare));
        return sorted;
    }
}
