package dev.apricotmill.core.steward;

import dev.apricotmill.core.configuration.EngineProfile;
import dev.apricotmill.core.configuration.Objective;
import dev.apricotmill.core.length.LengthClass;

/** Computes the memory that long prompts leave to short and medium ones on one replica. */
public final class ShortPromptHeadroom {

  private ShortPromptHeadroom() {}

  /**
   * Returns the headroom in tokens: an equal share of memory per length class, multiplied by the
   * share of short prompts.
   */
  public static long tokens(EngineProfile profile, Objective objective) {
    double shortPart = 1 - objective.longPromptShare();
    return (long) (profile.memoryTokens() * shortPart / LengthClass.values().length);
  }
}
