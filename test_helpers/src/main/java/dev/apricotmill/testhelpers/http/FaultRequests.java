package dev.apricotmill.testhelpers.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.base.Enums;
import com.google.common.base.Optional;
import dev.apricotmill.testhelpers.fault.Fault;
import dev.apricotmill.testhelpers.fault.FaultSwitch;
import java.util.Locale;

/**
 * Serves {@code POST /faults} with {@code {"operation": .., "fault": .., "times": n}}; zero times
 * stand for every call until the fault {@code none} is set.
 */
public final class FaultRequests {

  private FaultRequests() {}

  /** Sets a fault as a request asks. */
  public static <O extends Enum<O>> StandInAnswer serve(
      StandInRequest request, Class<O> operations, FaultSwitch<O> faults) {
    JsonNode body = request.json().orElseThrow(() -> new IllegalArgumentException("not JSON"));
    Optional<O> operation = Enums.getIfPresent(operations, upperCase(body.path("operation")));
    Optional<Fault> fault = Enums.getIfPresent(Fault.class, upperCase(body.path("fault")));
    if (!operation.isPresent() || !fault.isPresent()) {
      return StandInAnswer.json(400, "{\"error\":\"unknown operation or fault\"}");
    }
    set(faults, operation.get(), fault.get(), body.path("times").asInt());
    return StandInAnswer.json(200, "{}");
  }

  private static <O extends Enum<O>> void set(
      FaultSwitch<O> faults, O operation, Fault fault, int times) {
    if (fault == Fault.NONE) {
      faults.clear(operation);
    } else if (times == 0) {
      faults.always(operation, fault);
    }
    for (int call = 0; call < times; call++) {
      faults.once(operation, fault);
    }
  }

  private static String upperCase(JsonNode name) {
    return name.asText().toUpperCase(Locale.ROOT);
  }
}
