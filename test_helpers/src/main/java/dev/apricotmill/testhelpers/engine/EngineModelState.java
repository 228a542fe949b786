package dev.apricotmill.testhelpers.engine;

import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.engine.EngineOrder;
import dev.apricotmill.core.engine.EngineRole;
import dev.apricotmill.core.engine.OrderResult;

/** Which model an engine serves and in which role, as ordered. */
final class EngineModelState {

  private static final String FIRST_MODEL = "stand-in";
  private static final String FIRST_VERSION = "1";

  private final EngineSettings settings;
  private final Timing timing;
  private String model = FIRST_MODEL;
  private String version = FIRST_VERSION;
  private EngineRole role = EngineRole.MIXED;
  private long highestFencingNumber;
  private long servingFromNanos;

  EngineModelState(EngineSettings settings, Timing timing) {
    this.settings = settings;
    this.timing = timing;
    this.servingFromNanos = timing.nanoTime();
  }

  OrderResult order(EngineOrder order) {
    boolean stale = order.fencingNumber() < highestFencingNumber;
    if (stale && settings.fencing() == EngineSettings.Fencing.CHECKED) {
      return new OrderResult.Fenced(highestFencingNumber);
    }
    highestFencingNumber = Math.max(highestFencingNumber, order.fencingNumber());
    if (!order.model().equals(model) || !order.version().equals(version)) {
      model = order.model();
      version = order.version();
      servingFromNanos = timing.nanoTime() + settings.loadingTime().toNanos();
    }
    role = order.role();
    return new OrderResult.Accepted();
  }

  boolean isServing() {
    return role != EngineRole.IDLE && timing.nanoTime() - servingFromNanos >= 0;
  }

  String version() {
    return version;
  }

  EngineRole role() {
    return role;
  }
}
