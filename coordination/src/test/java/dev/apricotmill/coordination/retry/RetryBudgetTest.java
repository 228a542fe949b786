package dev.apricotmill.coordination.retry;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class RetryBudgetTest {

  @Test
  void aFullBudgetGrantsItsCapacityAndNoMore() {
    RetryBudget budget = new RetryBudget(100, 2);
    assertThat(budget.tryTake()).isTrue();
    assertThat(budget.tryTake()).isTrue();
    assertThat(budget.tryTake()).isFalse();
  }

  @Test
  void tenRequestsEarnOneRetryAtATenthOfARetryEach() {
    RetryBudget budget = new RetryBudget(100, 1);
    assertThat(budget.tryTake()).isTrue();
    for (int request = 0; request < 9; request++) {
      budget.onRequest();
    }
    assertThat(budget.tryTake()).isFalse();
    budget.onRequest();
    assertThat(budget.tryTake()).isTrue();
  }

  @Test
  void changingTheCapacityAddsNoRetries() {
    RetryBudget budget = new RetryBudget(1_000, 4);
    assertThat(budget.tryTake()).isTrue();

    budget.changeCapacity(2);
    budget.changeCapacity(4);

    assertThat(budget.tryTake()).isTrue();
    assertThat(budget.tryTake()).isTrue();
    assertThat(budget.tryTake()).isFalse();
  }

  @Test
  void savedRetriesNeverExceedTheCapacity() {
    RetryBudget budget = new RetryBudget(1_000, 1);
    for (int request = 0; request < 50; request++) {
      budget.onRequest();
    }
    assertThat(budget.tryTake()).isTrue();
    assertThat(budget.tryTake()).isFalse();
  }
}
