package petrelplank.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests the learned values of one parent. */
class QTableTest {
    private final QTable table = new QTable();

    @Test
    void valueIsTheFallbackUntilItIsLearned() {
        assertThat(table.isLearned(3)).isFalse();
        assertThat(table.value(3, 700)).isEqualTo(700);
    }

    @Test
    void valueMovesByATenthFromTheFallbackTowardsThePayoff() {
        table.learn(3, -1000, 1000);
        assertThat(table.isLearned(3)).isTrue();
        assertThat(table.value(3)).isEqualTo(800);
        assertThat(table.value(3, 5)).isEqualTo(800);
        assertThat(table.isLearned(4)).isFalse();
    }

    @Test
    void everyObjectHasAGroupOfTheTable() {
        for (long object = -100; object < 100; object++) {
            assertThat(QTable.groupOf(object)).isBetween(0, QTable.GROUP_COUNT - 1);
        }
    }
}
