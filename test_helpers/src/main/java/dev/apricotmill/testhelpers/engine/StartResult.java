package dev.apricotmill.testhelpers.engine;

import dev.apricotmill.core.engine.EngineRefusal;

/** Whether an engine took a sequence. */
sealed interface StartResult {

  /** It holds memory and waits or runs. */
  record Started() implements StartResult {}

  /** It did not start. */
  record Refused(EngineRefusal reason) implements StartResult {}
}
