package petrelplank.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** The retries that requests add to the budget. */
class RetryBudgetTest {
    private final RetryBudget budget = new RetryBudget();

    @Test
    void budgetStartsFullAndIsRefilledByRequests() {
        for (int i = 0; i < 20; i++) {
            assertThat(budget.canAfford(1)).isTrue();
            budget.withdraw(1);
        }
        assertThat(budget.canAfford(1)).isFalse();
        assertThat(budget.canAfford(0)).isTrue();
        for (int i = 0; i < 6; i++) {
            budget.deposit();
        }
        assertThat(budget.canAfford(1)).isTrue();
    }

    @Test
    void budgetIsBounded() {
        for (int i = 0; i < 1000; i++) {
            budget.deposit();
        }
        assertThat(budget.canAfford(20)).isTrue();
        assertThat(budget.canAfford(20.1)).isFalse();
    }
}
