package dev.apricotmill.coordination.testing;

/**
 * A watch that waits at {@link FakePlatform} for a change.
 *
 * @param request the call
 * @param prefix what it watches
 * @param onChange answers it
 * @param onBreak ends it because a lasting fault began
 */
record WaitingWatch(PlatformRequest request, String prefix, Runnable onChange, Runnable onBreak) {

  void wake() {
    onChange.run();
  }

  void breakOff() {
    onBreak.run();
  }
}
