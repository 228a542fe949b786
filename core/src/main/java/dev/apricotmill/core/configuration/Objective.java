package dev.apricotmill.core.configuration;

/** What a deployment optimizes for when short and long prompts compete. */
public enum Objective {
  /** The slowdown of short requests by long ones. */
  SHORT_REQUEST_SLOWDOWN(0.25),
  /** The time to first token of prompts of all lengths. */
  TIME_TO_FIRST_TOKEN(0.5);

  private final double longPromptShare;

  Objective(double longPromptShare) {
    this.longPromptShare = longPromptShare;
  }

  /**
   * Returns the share of a pool's prefill capacity that long prompts may use while short ones wait.
   */
  public double longPromptShare() {
    return longPromptShare;
  }
}
