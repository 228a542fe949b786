package dev.apricotmill.node.entry;

import dev.apricotmill.core.length.LengthClass;
import dev.apricotmill.core.outcome.Outcome;
import dev.apricotmill.core.request.GenerationRequest;
import dev.apricotmill.core.request.ServiceName;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.Locale;

/**
 * Counts outcomes by service and reason, and times first tokens by service and prompt length class.
 */
public final class RequestMeters {

  private static final String OUTCOME_COUNTER = "apricotmill.requests";
  private static final String FIRST_TOKEN_TIMER = "apricotmill.time.to.first.token";

  private final MeterRegistry registry;

  /** Creates meters that are registered in {@code registry}. */
  public RequestMeters(MeterRegistry registry) {
    this.registry = registry;
  }

  /** Starts recording a request. */
  RequestRecorder start(GenerationRequest request, long nowNanos) {
    return new RequestRecorder(request, nowNanos);
  }

  /** Counts a request that was refused before it was admitted. */
  public void countRefusal(ServiceName service, Outcome.Refused outcome) {
    registry
        .counter(
            OUTCOME_COUNTER,
            "service",
            serviceLabel(service, outcome),
            "outcome",
            outcome.headerValue(),
            "reason",
            reasonLabel(outcome))
        .increment();
  }

  /** Counts the outcome of an admitted request. */
  public void countOutcome(ServiceName service, Outcome outcome) {
    registry
        .counter(
            OUTCOME_COUNTER,
            "service",
            service.value(),
            "outcome",
            outcome.headerValue(),
            "reason",
            reasonLabel(outcome))
        .increment();
  }

  /** Names that may not be configured must not become label values: their number is unbounded. */
  private static String serviceLabel(ServiceName service, Outcome.Refused outcome) {
    return switch (outcome.reason()) {
      case UNKNOWN_SERVICE, UNKNOWN_CUSTOMER, NOT_READY, DRAINING, MALFORMED -> "none";
      default -> service.value();
    };
  }

  private static String reasonLabel(Outcome outcome) {
    if (outcome instanceof Outcome.Refused refused) {
      return lowerCase(refused.reason());
    }
    if (outcome instanceof Outcome.Failed failed) {
      return lowerCase(failed.reason());
    }
    return outcome instanceof Outcome.Unknown unknown ? lowerCase(unknown.reason()) : "none";
  }

  private static String lowerCase(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT);
  }

  /** Records the time to first token and the outcome of one request. */
  final class RequestRecorder {

    private final GenerationRequest request;
    private final long startNanos;

    private RequestRecorder(GenerationRequest request, long startNanos) {
      this.request = request;
      this.startNanos = startNanos;
    }

    void recordFirstToken(long nowNanos) {
      Timer.builder(FIRST_TOKEN_TIMER)
          .tag("service", request.service().value())
          .tag("length", lowerCase(LengthClass.of(request.promptTokens())))
          .publishPercentileHistogram()
          .register(registry)
          .record(Duration.ofNanos(nowNanos - startNanos));
    }

    void recordEnd(Outcome outcome) {
      countOutcome(request.service(), outcome);
    }
  }
}
