package dev.apricotmill.node.matrix;

import com.google.common.collect.ImmutableList;

/** Pairs of faults that are injected together, because recovery from one relies on the other. */
final class ChosenPairs {

  private ChosenPairs() {}

  static ImmutableList<ImmutableList<InjectedFault>> all() {
    return ImmutableList.of(
        ImmutableList.of(InjectedFault.ENTRY_DIES, InjectedFault.STEWARD_DIES),
        ImmutableList.of(InjectedFault.ENTRY_FREEZES, InjectedFault.PLATFORM_ANSWERS_LOST),
        ImmutableList.of(InjectedFault.STEWARD_DIES, InjectedFault.PLATFORM_DOWN),
        ImmutableList.of(InjectedFault.STEWARD_DIES, InjectedFault.CANCEL_LOST),
        ImmutableList.of(InjectedFault.ENGINE_DIES, InjectedFault.ENTRY_DIES),
        ImmutableList.of(InjectedFault.ENGINE_DIES, InjectedFault.ENGINES_REFUSE),
        ImmutableList.of(InjectedFault.ZONE_CUT_FROM_BOTH, InjectedFault.STEWARD_FREEZES),
        ImmutableList.of(InjectedFault.PLATFORM_WRITES_LATE, InjectedFault.OPERATORS_RACE),
        ImmutableList.of(InjectedFault.PLATFORM_ANSWERS_LOST, InjectedFault.OPERATORS_RACE),
        ImmutableList.of(InjectedFault.ANSWER_LOST, InjectedFault.PLATFORM_DOWN));
  }
}
