package dev.apricotmill.core.fairness;

import static com.google.common.truth.Truth.assertThat;

import dev.apricotmill.core.request.CustomerId;
import dev.apricotmill.core.request.GenerationRequest;
import dev.apricotmill.core.steward.Requests;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class FairQueueTest {

  private final FairQueue queue = new FairQueue();

  @Test
  void aCustomerWithManyRequestsWaitsBehindItsOwnRequests() {
    for (int number = 0; number < 10; number++) {
      queue.add(request("busy " + number, "busy", 1_000));
    }
    queue.add(request("quiet", "quiet", 1_000));
    assertThat(servedInOrder().indexOf("quiet")).isAtMost(1);
  }

  @Test
  void theCostIsCountedInTokensNotRequests() {
    queue.add(request("large 1", "large", 10_000));
    queue.add(request("large 2", "large", 10_000));
    for (int number = 0; number < 9; number++) {
      queue.add(request("small " + number, "small", 1_000));
    }
    assertThat(servedInOrder().indexOf("large 2")).isEqualTo(10);
  }

  @Test
  void tokensBeforeANewRequestExcludeABusyCustomersQueue() {
    for (int number = 0; number < 10; number++) {
      queue.add(request("busy " + number, "busy", 1_000));
    }
    assertThat(queue.tokensBefore(new CustomerId("quiet"))).isEqualTo(1_000);
    assertThat(queue.tokensBefore(new CustomerId("busy"))).isEqualTo(10_000);
  }

  @Test
  void aWithdrawnRequestIsNotCharged() {
    queue.add(request("busy 1", "busy", 1_000));
    queue.add(request("busy 2", "busy", 50_000));
    queue.add(request("other 1", "other", 2_000));
    queue.withdraw(request("busy 2", "busy", 50_000).id());
    queue.add(request("busy 3", "busy", 1_000));
    queue.add(request("other 2", "other", 2_000));
    assertThat(servedInOrder()).containsExactly("busy 1", "other 1", "busy 3", "other 2").inOrder();
  }

  private List<String> servedInOrder() {
    List<String> served = new ArrayList<>();
    while (queue.size() > 0) {
      GenerationRequest next = queue.peek().orElseThrow();
      queue.serve(next.id());
      served.add(next.id().value());
    }
    return served;
  }

  private static GenerationRequest request(String id, String customer, long tokens) {
    return Requests.request(id, customer, tokens, Duration.ofMinutes(1));
  }
}
