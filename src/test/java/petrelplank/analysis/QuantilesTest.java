package petrelplank.analysis;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

class QuantilesTest {
    @Test
    void quantileIsAValueThatIsThere() {
        assertEquals(30, Quantiles.quantile(LongStream.of(40, 10, 30, 20), Quantiles.MEDIAN));
        assertEquals(20, Quantiles.quantile(LongStream.of(40, 10, 30, 20), Quantiles.LOWER_QUARTILE));
        assertEquals(7, Quantiles.quantile(LongStream.of(7), Quantiles.MEDIAN));
        assertEquals(40, Quantiles.quantile(LongStream.of(40, 10), 1));
    }
}
