package dev.apricotmill.node.matrix;

import com.google.common.collect.ImmutableList;

/** Pairs of faults that strike together: those whose mechanisms rely on each other. */
final class ChosenPairs {

  private ChosenPairs() {}

  static ImmutableList<ImmutableList<Strike>> all() {
    return ImmutableList.of(
        ImmutableList.of(Strike.ENTRY_DIES, Strike.STEWARD_DIES),
        ImmutableList.of(Strike.ENTRY_FREEZES, Strike.PLATFORM_ANSWERS_LOST),
        ImmutableList.of(Strike.STEWARD_DIES, Strike.PLATFORM_DOWN),
        ImmutableList.of(Strike.STEWARD_DIES, Strike.CANCEL_LOST),
        ImmutableList.of(Strike.ENGINE_DIES, Strike.ENTRY_DIES),
        ImmutableList.of(Strike.ENGINE_DIES, Strike.ENGINES_REFUSE),
        ImmutableList.of(Strike.ZONE_CUT_FROM_BOTH, Strike.STEWARD_FREEZES),
        ImmutableList.of(Strike.PLATFORM_WRITES_LATE, Strike.OPERATORS_RACE),
        ImmutableList.of(Strike.PLATFORM_ANSWERS_LOST, Strike.OPERATORS_RACE),
        ImmutableList.of(Strike.ANSWER_LOST, Strike.PLATFORM_DOWN));
  }
}
