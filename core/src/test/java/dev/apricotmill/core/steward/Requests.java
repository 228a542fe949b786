package dev.apricotmill.core.steward;

import dev.apricotmill.coordination.time.Deadline;
import dev.apricotmill.core.request.CustomerId;
import dev.apricotmill.core.request.GenerationRequest;
import dev.apricotmill.core.request.PrefixFingerprint;
import dev.apricotmill.core.request.Priority;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.core.request.ServiceName;
import java.time.Duration;

/** Creates requests for tests. */
public final class Requests {

  private Requests() {}

  /** Returns a request with a deadline of 10 minutes after time 0. */
  public static GenerationRequest request(String id, long promptTokens) {
    return request(id, "a customer", promptTokens, Duration.ofMinutes(10));
  }

  /** Returns a request of a customer with a deadline relative to time 0. */
  public static GenerationRequest request(
      String id, String customer, long promptTokens, Duration deadline) {
    return new GenerationRequest(
        new RequestId(id),
        new CustomerId(customer),
        new ServiceName("model"),
        "",
        promptTokens,
        100,
        Priority.NORMAL,
        1,
        PrefixFingerprint.NONE,
        true,
        new Deadline(deadline.toNanos()));
  }
}
