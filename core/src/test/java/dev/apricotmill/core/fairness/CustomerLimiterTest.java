package dev.apricotmill.core.fairness;

import static com.google.common.truth.Truth.assertThat;

import dev.apricotmill.core.configuration.Customer;
import dev.apricotmill.core.configuration.CustomerLimits;
import dev.apricotmill.core.request.CustomerId;
import dev.apricotmill.core.request.Priority;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class CustomerLimiterTest {

  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  private final CustomerLimiter limiter = new CustomerLimiter();

  @Test
  void severalEntryDaemonsTogetherAllowTheCustomersRate() {
    Customer customer = customer("c", 100, 1e9, 1_000);
    int entries = 4;
    int allowed = 0;
    for (int entry = 0; entry < entries; entry++) {
      CustomerLimiter entryLimiter = new CustomerLimiter();
      for (long now = 0; now < 100 * SECOND; now += SECOND / 200) {
        if (entryLimiter.acquire(customer, 10, entries, now) instanceof LimitDecision.Allowed) {
          entryLimiter.release(customer.id());
          allowed++;
        }
      }
    }
    assertThat(allowed).isAtLeast(10_000);
    assertThat(allowed).isAtMost(11_010);
  }

  @Test
  void aPromptLargerThanTheBurstPassesAndIsCharged() {
    Customer customer = customer("c", 100, 10_000, 10);
    assertThat(limiter.acquire(customer, 1_000_000, 1, 0))
        .isInstanceOf(LimitDecision.Allowed.class);
    LimitDecision.Limited limited =
        (LimitDecision.Limited) limiter.acquire(customer, 1_000, 1, SECOND);
    assertThat(limited.retryAfter()).isEqualTo(Duration.ofSeconds(89));
    assertThat(limiter.acquire(customer, 1_000, 1, 100 * SECOND))
        .isInstanceOf(LimitDecision.Allowed.class);
  }

  @Test
  void openRequestsAreCountedUntilTheyEnd() {
    Customer customer = customer("c", 100, 1e9, 2);
    assertThat(limiter.acquire(customer, 1, 1, 0)).isInstanceOf(LimitDecision.Allowed.class);
    assertThat(limiter.acquire(customer, 1, 1, 0)).isInstanceOf(LimitDecision.Allowed.class);
    assertThat(limiter.acquire(customer, 1, 1, 0)).isInstanceOf(LimitDecision.Limited.class);
    limiter.release(customer.id());
    assertThat(limiter.acquire(customer, 1, 1, 0)).isInstanceOf(LimitDecision.Allowed.class);
  }

  @Test
  void aRequestOverTheTokenLimitIsNotChargedAsARequest() {
    Customer customer = customer("c", 1, 1, 10);
    limiter.acquire(customer, 1_000, 1, 0);
    limiter.release(customer.id());
    for (int attempt = 0; attempt < 100; attempt++) {
      assertThat(limiter.acquire(customer, 1, 1, SECOND)).isInstanceOf(LimitDecision.Limited.class);
    }
    assertThat(limiter.acquire(customer, 1, 1, 1_000 * SECOND))
        .isInstanceOf(LimitDecision.Allowed.class);
  }

  @Test
  void idleCustomersTakeNoMemoryAfterEviction() {
    for (int number = 0; number < 35_000; number++) {
      Customer customer = customer("c" + number, 10, 1e6, 10);
      limiter.acquire(customer, 100, 1, 0);
      if (number > 0) {
        limiter.release(customer.id());
      }
    }
    limiter.evictIdle(60 * SECOND);
    assertThat(limiter.size()).isEqualTo(1);
  }

  private static Customer customer(
      String id, double requestsPerSecond, double tokensPerSecond, int openRequests) {
    return new Customer(
        new CustomerId(id),
        "",
        1,
        Priority.NORMAL,
        new CustomerLimits(requestsPerSecond, tokensPerSecond, openRequests));
  }
}
