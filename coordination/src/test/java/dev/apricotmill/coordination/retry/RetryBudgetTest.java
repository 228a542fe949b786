package dev.apricotmill.coordination.retry;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class RetryBudgetTest {

  @Test
  void retriesStayWithinTheirRatioToRequests() {
    RetryBudget budget = new RetryBudget(0.1, 10);
    int retries = 0;
    for (int request = 0; request < 1000; request++) {
      budget.onRequest();
      retries += budget.tryRetry() ? 1 : 0;
    }
    assertThat(retries).isAtMost(110);
    assertThat(retries).isAtLeast(100);
  }

  @Test
  void aQuietServiceMayRetryFromItsReserve() {
    RetryBudget budget = new RetryBudget(0.1, 2);
    assertThat(budget.tryRetry()).isTrue();
    assertThat(budget.tryRetry()).isTrue();
    assertThat(budget.tryRetry()).isFalse();
  }
}
