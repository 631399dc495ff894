package petrelplank.analysis;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

/** Rows of whole numbers, kept small, in no order until they are read. */
final class LongTable {
    private final int width;
    private long[] cells;
    private int rows;

    LongTable(int width) {
        this.width = width;
        this.cells = new long[16 * width];
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

    /** The rows in the order of their columns, from the first: the same whatever order they were added in. */
    List<long[]> sorted() {
        List<long[]> all = new ArrayList<>(rows);
        for (int i = 0; i < rows; i++) {
            all.add(Arrays.copyOfRange(cells, i * width, (i + 1) * width));
        }
        all.sort(Comparator.comparing((long[] r) -> r, Arrays::compare));
        return all;
    }
}
